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

/** Returns the lease that [first] describes; it is not held before [GatewayLease.acquire], and its writes run in [scope]. */
public fun gatewayLease(
    table: TableStore,
    clock: Clock,
    options: LeaseOptions,
    first: LeaseRecord,
    scope: CoroutineScope,
): GatewayLease = GatewayLease(table, clock, options, first, scope)

/**
 * The lease of one gateway, under which it makes all its writes.
 *
 * Each write is one transaction that requires the lease row to be as this process left it and that renews it, so a
 * process whose lease was fenced can write nothing. Writes run one at a time. A write without an answer is repeated
 * with the same conditions until it is certain whether it took effect, also when its caller stopped waiting.
 */
public class GatewayLease internal constructor(
    private val table: TableStore,
    private val clock: Clock,
    private val options: LeaseOptions,
    private val first: LeaseRecord,
    private val scope: CoroutineScope,
) {
    private val mutex = Mutex()
    private var sessions = 0

    @Volatile
    private var held: HeldLease? = null

    /** The lease row as this process last wrote it, or null when the lease is not held. */
    public val record: LeaseRecord?
        get() = held?.record

    /** When the newest renewal that took effect was sent, on the monotonic clock, or null when the lease is not held. */
    public val renewedAt: Duration?
        get() = held?.renewedAt

    /** The key of the lease row. */
    public val rowKey: String = LeaseRecord.rowKey(options.environment, first.id)

    /** Takes the row for this process, which fences an earlier run of it; after a fencing, under a new incarnation. */
    public suspend fun acquire(change: (LeaseRecord) -> LeaseRecord = { it }): Either<LeaseFailure, LeaseRecord> =
        runDetached {
            val startedAt = clock.elapsed()
            val existing =
                table
                    .read(listOf(rowKey))
                    .getOrElse { return@runDetached LeaseFailure.StoreDown(it.toString()).left() }
                    .firstOrNull()
            val next = change(nextSession(existing?.decodeOrNull<LeaseRecord>()))
            val condition = Condition(rowKey, existing?.version ?: Condition.ABSENT)
            val transaction = Transaction(listOf(condition), listOf(RowWrite(rowKey, rowJson.encodeToString(next))))
            val result = table.transact(transaction)
            if (result.leftOrNull() !is StoreFailure.Unavailable) sessions += 1
            result.fold(
                { LeaseFailure.StoreDown(it.toString()).left() },
                { rows -> hold(next, rows, startedAt).right() },
            )
        }

    /**
     * Writes [writes] if [conditions] hold and the lease is still held, and renews the lease with [change] applied.
     *
     * [onUnknownOutcome] is called when an attempt got no answer, before the wait for certainty, which lasts as long as the
     * store is down.
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
            val ownWrite = RowWrite(rowKey, rowJson.encodeToString(next))
            val ownCondition = Condition(rowKey, lease.version)
            val required = if (options.isFencingEnabled) listOf(ownCondition) + conditions else emptyList()
            settle(next, Transaction(required, listOf(ownWrite) + writes), onUnknownOutcome)
        }

    private suspend fun <T> runDetached(work: suspend () -> T): T = scope.async { mutex.withLock { work() } }.await()

    private fun nextSession(existing: LeaseRecord?): LeaseRecord {
        val base = first.incarnation.value
        val incarnation = if (sessions == 0) first.incarnation else Incarnation("$base.${sessions + 1}")
        return first.copy(
            incarnation = incarnation,
            renewals = 1,
            previousIncarnation = existing?.incarnation,
            previousRenewals = existing?.renewals ?: 0,
        )
    }

    private suspend fun settle(
        next: LeaseRecord,
        transaction: Transaction,
        onUnknownOutcome: () -> Unit,
    ): Either<LeaseFailure, List<Row>> {
        val firstStartedAt = clock.elapsed()
        var isUncertain = false
        while (true) {
            val startedAt = clock.elapsed()
            val failure =
                table.transact(transaction).fold({ it }) { rows ->
                    hold(next, rows, startedAt)
                    return rows.right()
                }
            when (failure) {
                is StoreFailure.Conflict -> return resolve(failure, next, transaction, firstStartedAt)
                is StoreFailure.Unavailable -> if (!isUncertain) return LeaseFailure.StoreDown(failure.detail).left()
                is StoreFailure.OutcomeUnknown, is StoreFailure.Malformed -> isUncertain = true
            }
            onUnknownOutcome()
            delay(options.retryInterval)
        }
    }

    private suspend fun resolve(
        conflict: StoreFailure.Conflict,
        next: LeaseRecord,
        transaction: Transaction,
        startedAt: Duration,
    ): Either<LeaseFailure, List<Row>> {
        if (rowKey !in conflict.failedKeys) return LeaseFailure.Conflict(conflict.failedKeys, conflict.current).left()
        val rows = readBack(transaction)
        val current = rows.find { it.key == rowKey }?.decodeOrNull<LeaseRecord>()
        val isStillOurs = current?.incarnation == next.incarnation && current.state != LeaseState.FENCED
        if (isStillOurs && current.renewals == next.renewals) {
            hold(next, rows, startedAt)
            return rows.right()
        }
        held = null
        return if (current != null && includes(current, next)) rows.right() else LeaseFailure.NotHeld.left()
    }

    /** Tells whether the write that made [written] took effect before [current] replaced it. */
    private fun includes(
        current: LeaseRecord,
        written: LeaseRecord,
    ): Boolean {
        val isSame = current.incarnation == written.incarnation && current.renewals == written.renewals
        val isPrevious =
            current.previousIncarnation == written.incarnation && current.previousRenewals == written.renewals
        return isSame || isPrevious
    }

    private suspend fun readBack(transaction: Transaction): List<Row> {
        val keys = transaction.writes.map { it.key }
        while (true) {
            table.read(keys).onRight { return it }
            delay(options.retryInterval)
        }
    }

    private fun hold(
        next: LeaseRecord,
        rows: List<Row>,
        startedAt: Duration,
    ): LeaseRecord {
        val version = rows.first { it.key == rowKey }.version
        held = HeldLease(next, version, startedAt)
        return next
    }
}
