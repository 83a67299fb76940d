package org.chestnutloom.store

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Applies [transaction] and resolves its outcome if the reply is lost.
 *
 * To resolve the outcome, the rows are read back. A write whose row now has the written value took effect. A
 * transaction whose conditions still hold is sent again, which is safe because at most one of the two can take effect.
 * The written values must differ from those of other writers, whose rows would otherwise count as written by this
 * transaction.
 *
 * @param markerKey the key of a row that the transaction creates and that is never changed later; with it, the outcome
 *   can be determined even after other writers have overwritten the remaining rows
 * @param attempts maximum number of attempts to resolve the outcome before it is reported as unknown
 * @param retryInterval delay between attempts
 */
public suspend fun TableStore.transactAndResolve(
    transaction: Transaction,
    markerKey: String? = null,
    attempts: Int = DEFAULT_ATTEMPTS,
    retryInterval: Duration = DEFAULT_RETRY_INTERVAL,
): Either<StoreFailure, List<Row>> {
    val first = transact(transaction)
    val failure = first.leftOrNull() as? StoreFailure.OutcomeUnknown ?: return first
    return OutcomeResolver(this, transaction, markerKey).resolve(failure, attempts, retryInterval)
}

private const val DEFAULT_ATTEMPTS = 8
private val DEFAULT_RETRY_INTERVAL = 250.milliseconds

private class OutcomeResolver(
    private val store: TableStore,
    private val transaction: Transaction,
    private val markerKey: String?,
) {
    private val versions = transaction.conditions.associate { it.key to it.version }
    private val keys = (versions.keys + transaction.writes.map { it.key }).toList()

    suspend fun resolve(
        failure: StoreFailure.OutcomeUnknown,
        attempts: Int,
        retryInterval: Duration,
    ): Either<StoreFailure, List<Row>> {
        repeat(attempts) {
            val rows = store.read(keys).getOrElse { null }
            val result = if (rows == null) null else outcomeOf(rows.associateBy { it.key })
            if (result != null) return result
            delay(retryInterval)
        }
        return failure.left()
    }

    /** Returns the outcome if it is known, and retries the transaction if its conditions still hold. */
    private suspend fun outcomeOf(rows: Map<String, Row>): Either<StoreFailure, List<Row>>? {
        if (tookEffect(rows)) return transaction.writes.mapNotNull { rows[it.key] }.right()
        val failedKeys = versions.keys.filter { (rows[it]?.version ?: Condition.ABSENT) != versions[it] }
        if (failedKeys.isEmpty()) return resend()
        if (markerKey == null) return StoreFailure.OutcomeUnknown("the rows changed, and there is no marker row").left()
        return StoreFailure.Conflict(failedKeys, failedKeys.mapNotNull { rows[it] }).left()
    }

    private suspend fun resend(): Either<StoreFailure, List<Row>>? = store.transact(transaction).getOrNull()?.right()

    private fun tookEffect(rows: Map<String, Row>): Boolean {
        val decisiveWrites = transaction.writes.filter { markerKey == null || it.key == markerKey }
        return decisiveWrites.any { write -> isWritten(rows[write.key], write) }
    }

    private fun isWritten(
        row: Row?,
        write: RowWrite,
    ): Boolean {
        val versionBefore = versions[write.key] ?: return row?.value == write.value
        val versionNow = row?.version ?: Condition.ABSENT
        return versionNow != versionBefore && row?.value == write.value
    }
}
