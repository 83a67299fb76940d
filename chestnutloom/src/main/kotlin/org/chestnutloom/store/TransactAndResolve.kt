package org.chestnutloom.store

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Applies [transaction], and finds out what became of it when the reply is lost.
 *
 * The rows are read back: a write whose row now holds our value took effect, and a transaction whose conditions still
 * hold is sent again, which is safe because at most one of the two can take effect. The values written must be unlike
 * those of other writers.
 *
 * @param markerKey the key of a row that the transaction creates and that nobody changes later; with it, the result is
 *   certain also when other writers have overwritten the remaining rows
 * @param attempts how often the transaction is sent or looked for before the result stays unknown
 * @param pause how long to wait between attempts
 */
public suspend fun TableStore.transactAndResolve(
    transaction: Transaction,
    markerKey: String? = null,
    attempts: Int = DEFAULT_ATTEMPTS,
    pause: Duration = DEFAULT_PAUSE,
): Either<StoreFailure, List<Row>> {
    val first = transact(transaction)
    val failure = first.leftOrNull() as? StoreFailure.OutcomeUnknown ?: return first
    return Settlement(this, transaction, markerKey).settle(failure, attempts, pause)
}

private const val DEFAULT_ATTEMPTS = 8
private val DEFAULT_PAUSE = 250.milliseconds

private class Settlement(
    private val store: TableStore,
    private val transaction: Transaction,
    private val markerKey: String?,
) {
    private val versions = transaction.conditions.associate { it.key to it.version }
    private val keys = (versions.keys + transaction.writes.map { it.key }).toList()

    suspend fun settle(
        failure: StoreFailure.OutcomeUnknown,
        attempts: Int,
        pause: Duration,
    ): Either<StoreFailure, List<Row>> {
        repeat(attempts) {
            val rows = store.read(keys).getOrElse { null }
            val result = if (rows == null) null else judge(rows.associateBy { it.key })
            if (result != null) return result
            delay(pause)
        }
        return failure.left()
    }

    /** Returns the result when it is known, after sending the transaction again if its conditions still hold. */
    private suspend fun judge(rows: Map<String, Row>): Either<StoreFailure, List<Row>>? {
        if (tookEffect(rows)) return transaction.writes.mapNotNull { rows[it.key] }.right()
        val failedKeys = versions.keys.filter { (rows[it]?.version ?: Condition.ABSENT) != versions[it] }
        if (failedKeys.isEmpty()) return sendAgain()
        if (markerKey == null) return StoreFailure.OutcomeUnknown("the rows were overwritten").left()
        return StoreFailure.Conflict(failedKeys, failedKeys.mapNotNull { rows[it] }).left()
    }

    private suspend fun sendAgain(): Either<StoreFailure, List<Row>>? = store.transact(transaction).getOrNull()?.right()

    private fun tookEffect(rows: Map<String, Row>): Boolean {
        val decisive = transaction.writes.filter { markerKey == null || it.key == markerKey }
        return decisive.any { write -> hasOurs(rows[write.key], write) }
    }

    private fun hasOurs(
        row: Row?,
        write: RowWrite,
    ): Boolean {
        val versionBefore = versions[write.key] ?: return row?.value == write.value
        val versionNow = row?.version ?: Condition.ABSENT
        return versionNow != versionBefore && row?.value == write.value
    }
}
