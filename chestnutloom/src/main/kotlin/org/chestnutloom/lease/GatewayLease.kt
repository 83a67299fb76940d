package org.chestnutloom.lease

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.id.Incarnation
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.rowJson
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/**
 * Returns the lease described by [initialRecord]. It is not held until [GatewayLease.acquire] succeeds.
 *
 * @param scope runs the writes, so that they complete even if their caller is cancelled
 */
public fun gatewayLease(
    table: TableStore,
    clock: Clock,
    options: LeaseOptions,
    initialRecord: LeaseRecord,
    scope: CoroutineScope,
): GatewayLease = GatewayLease(table, clock, options, initialRecord, scope)

/**
 * The lease of one gateway, which guards all its writes.
 *
 * Each write is one transaction that renews the lease row on condition that the row is unchanged since this process
 * last wrote it, so a process whose lease was fenced cannot write. Writes are serialized. A write that gets no reply is
 * retried under the same conditions until its outcome is known, even if its caller was cancelled.
 */
public class GatewayLease internal constructor(
    private val table: TableStore,
    private val clock: Clock,
    private val options: LeaseOptions,
    private val initialRecord: LeaseRecord,
    private val scope: CoroutineScope,
) {
    private val mutex = Mutex()
    private var incarnations = 0

    @Volatile
    private var held: HeldLease? = null

    /** The lease row as this process last wrote it, or null if the lease is not held. */
    public val record: LeaseRecord?
        get() = held?.record

    /** When the last successful renewal was sent, on the monotonic clock, or null if the lease is not held. */
    public val renewedAt: Duration?
        get() = held?.renewedAt

    /** The key of the lease row. */
    public val rowKey: String = LeaseRecord.rowKey(options.environment, initialRecord.id)

    /** Acquires the lease and fences an earlier incarnation of this gateway; reacquiring it uses a new incarnation. */
    public suspend fun acquire(change: (LeaseRecord) -> LeaseRecord = { it }): Either<LeaseFailure, LeaseRecord> =
        runDetached {
            val startedAt = clock.elapsed()
            val existing =
                table
                    .read(listOf(rowKey))
                    .getOrElse { return@runDetached LeaseFailure.StoreUnavailable(it.toString()).left() }
                    .firstOrNull()
            val next = change(newRecord(existing?.decodeOrNull<LeaseRecord>()))
            val condition = Condition(rowKey, existing?.version ?: Condition.ABSENT)
            val transaction = Transaction(listOf(condition), listOf(RowWrite(rowKey, rowJson.encodeToString(next))))
            val result = table.transact(transaction)
            // An attempt that may have taken effect uses up its incarnation, so that no two acquisitions share one.
            if (result.leftOrNull() !is StoreFailure.Unavailable) incarnations += 1
            result.fold(
                { LeaseFailure.StoreUnavailable(it.toString()).left() },
                { rows -> recordHeld(next, rows, startedAt).right() },
            )
        }

    /**
     * Applies [writes] if [conditions] hold and the lease is still held, and renews the lease with [change] applied.
     *
     * [onUnknownOutcome] is called after each attempt that leaves the outcome unknown, before the next one. Attempts go
     * on for as long as the store is unavailable.
     */
    public suspend fun write(
        conditions: List<Condition> = emptyList(),
        writes: List<RowWrite> = emptyList(),
        onUnknownOutcome: () -> Unit = {},
        change: (LeaseRecord) -> LeaseRecord = { it },
    ): Either<LeaseFailure, List<Row>> =
        runDetached {
            val lease = held ?: return@runDetached LeaseFailure.NotHeld.left()
            val next = change(lease.record).copy(renewals = lease.record.renewals + 1)
            val leaseWrite = RowWrite(rowKey, rowJson.encodeToString(next))
            val leaseCondition = Condition(rowKey, lease.version)
            val required = if (options.isFencingEnabled) listOf(leaseCondition) + conditions else emptyList()
            transactUntilKnown(next, Transaction(required, listOf(leaseWrite) + writes), onUnknownOutcome)
        }

    private suspend fun <T> runDetached(work: suspend () -> T): T = scope.async { mutex.withLock { work() } }.await()

    private fun newRecord(existing: LeaseRecord?): LeaseRecord {
        val base = initialRecord.incarnation.value
        val incarnation = if (incarnations == 0) initialRecord.incarnation else Incarnation("$base.${incarnations + 1}")
        return initialRecord.copy(
            incarnation = incarnation,
            renewals = 1,
            previousIncarnation = existing?.incarnation,
            previousRenewals = existing?.renewals ?: 0,
        )
    }

    private suspend fun transactUntilKnown(
        next: LeaseRecord,
        transaction: Transaction,
        onUnknownOutcome: () -> Unit,
    ): Either<LeaseFailure, List<Row>> {
        val firstStartedAt = clock.elapsed()
        var isOutcomeUnknown = false
        while (true) {
            val startedAt = clock.elapsed()
            val failure =
                table.transact(transaction).fold({ it }) { rows ->
                    recordHeld(next, rows, startedAt)
                    return rows.right()
                }
            when (failure) {
                is StoreFailure.Conflict -> return resolveConflict(failure, next, transaction, firstStartedAt)
                is StoreFailure.Unavailable ->
                    if (!isOutcomeUnknown) return LeaseFailure.StoreUnavailable(failure.detail).left()

                is StoreFailure.OutcomeUnknown, is StoreFailure.Malformed -> isOutcomeUnknown = true
            }
            onUnknownOutcome()
            delay(options.retryInterval)
        }
    }

    private suspend fun resolveConflict(
        conflict: StoreFailure.Conflict,
        next: LeaseRecord,
        transaction: Transaction,
        startedAt: Duration,
    ): Either<LeaseFailure, List<Row>> {
        if (rowKey !in conflict.failedKeys) return LeaseFailure.Conflict(conflict.failedKeys, conflict.current).left()
        val rows = readBack(transaction)
        val current = rows.find { it.key == rowKey }?.decodeOrNull<LeaseRecord>()
        val isStillHeld = current?.incarnation == next.incarnation && current.state != LeaseState.FENCED
        if (isStillHeld && current.renewals == next.renewals) {
            recordHeld(next, rows, startedAt)
            return rows.right()
        }
        held = null
        return if (current != null && tookEffect(current, next)) rows.right() else LeaseFailure.NotHeld.left()
    }

    /** Returns whether the write of [written] took effect before [current] replaced it. */
    private fun tookEffect(
        current: LeaseRecord,
        written: LeaseRecord,
    ): Boolean {
        val isCurrent = current.incarnation == written.incarnation && current.renewals == written.renewals
        val isPrevious =
            current.previousIncarnation == written.incarnation && current.previousRenewals == written.renewals
        return isCurrent || isPrevious
    }

    private suspend fun readBack(transaction: Transaction): List<Row> {
        val keys = transaction.writes.map { it.key }
        while (true) {
            table.read(keys).onRight { return it }
            delay(options.retryInterval)
        }
    }

    private fun recordHeld(
        next: LeaseRecord,
        rows: List<Row>,
        startedAt: Duration,
    ): LeaseRecord {
        val version = rows.first { it.key == rowKey }.version
        held = HeldLease(next, version, startedAt)
        return next
    }
}
