package org.chestnutloom.examples

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.rate.HeldRights
import org.chestnutloom.rate.RateLimit
import org.chestnutloom.rate.RightsHolder
import org.chestnutloom.rate.RightsRecord
import org.chestnutloom.rate.heldRights
import org.chestnutloom.store.Condition
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.store.memoryTableStore
import org.chestnutloom.store.rowJson
import org.chestnutloom.store.transactAndResolve
import org.chestnutloom.time.Clock
import org.chestnutloom.time.manualClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The rights of one process to a client account's rate limit.
 *
 * Rights are a share of the rate limit; several processes hold shares and transfer them through a row of the table.
 */
class SharedRights(
    private val table: TableStore,
    private val limit: RateLimit,
    clock: Clock,
    name: String,
) {
    private val key = RightsRecord.rowKey("trial", ClientAccountId("ward-9"))

    /** The rights held by this process, which it spends without access to the table. */
    val held: HeldRights = heldRights(clock, RightsHolder(GatewayId(name), Incarnation("1")), limit)

    /** Claims the unassigned share; the first process to do so also gets the full burst. */
    suspend fun claim() {
        change { record -> record.claimedBy(held.holder, limit) { false } }
    }

    /** Transfers [permille] of the rights to [receiver]; they are deducted here before the row is written. */
    suspend fun give(
        receiver: SharedRights,
        permille: Int,
    ) {
        val transfer = held.beginTransfer(permille) ?: return
        val result =
            change { it.moved(held.holder, receiver.held.holder, transfer.sharePermille, transfer.milliTokens) }
        // With an unknown outcome the transfer may have been written, so only a definite failure cancels it.
        result.onLeft {
            if (it is StoreFailure.Conflict || it is StoreFailure.Unavailable) held.cancelTransfer(transfer)
        }
    }

    /** Applies the current row. */
    suspend fun refresh() {
        val row = table.read(listOf(key)).getOrNull()?.firstOrNull() ?: return
        row.decodeOrNull<RightsRecord>()?.let { held.apply(it, row.version) }
    }

    private suspend fun change(next: (RightsRecord) -> RightsRecord): Either<StoreFailure, Unit> =
        either {
            val row = table.read(listOf(key)).bind().firstOrNull()
            val record = next(row?.decodeOrNull<RightsRecord>() ?: RightsRecord.unused(limit))
            val condition = Condition(key, row?.version ?: Condition.ABSENT)
            val write = RowWrite(key, rowJson.encodeToString(record))
            val written = table.transactAndResolve(Transaction(listOf(condition), listOf(write))).bind()
            held.apply(record, written.first().version)
        }
}

/**
 * Shares a burst of ten requests between two processes and returns how many each admits.
 *
 * After both have spent their rights, the first earns new ones and lends the right to one request to the second.
 */
suspend fun shareRateRights(): Pair<Int, Int> {
    val clock = manualClock()
    val table = memoryTableStore()
    val limit = RateLimit(ratePerSecond = 2.0, burst = 10)
    val first = SharedRights(table, limit, clock, "gw-1")
    val second = SharedRights(table, limit, clock, "gw-2")
    first.claim()
    first.give(second, permille = 400)
    second.refresh()
    val admitted = countAdmitted(first) to countAdmitted(second)

    clock.advance(1.seconds)
    val lent = first.held.lend(milliTokens = 1000, validity = 110.milliseconds)
    second.held.borrow(lent, endsAt = clock.elapsed() + 100.milliseconds)
    second.held.trySpend()
    return admitted
}

private fun countAdmitted(rights: SharedRights): Int = generateSequence { rights.held.trySpend().takeIf { it } }.count()
