package org.chestnutloom.rate

import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.time.manualClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulates a fleet of rights holders on one row with random steps, and counts admissions above the limit. */
internal class RightsSimulation(
    private val random: Random,
    private val limit: RateLimit,
) {
    private val clock = manualClock()
    private val holders = (0 until GATEWAYS).map { newHolder(it, 1) }.toMutableList()
    private val delayedReads = mutableListOf<Pair<HeldRights, Pair<RightsRecord, Long>>>()
    private val delayedLoans = mutableListOf<DelayedLoan>()
    private var row: Pair<RightsRecord, Long>? = null
    private var idealMilliTokens = limit.burst * 1000.0

    var excess = 0
        private set
    var admitted = 0
        private set

    /** Executes one random step. */
    fun step() {
        val gateway = random.nextInt(GATEWAYS)
        when (random.nextInt(12)) {
            0 -> claim(gateway)
            1 -> give(gateway)
            2 -> release(gateway)
            3 -> restart(gateway)
            4 -> lend(gateway)
            5 -> deliverLoan()
            6 -> readLate(gateway)
            7 -> deliverRead()
            8 -> advance(random.nextInt(400).milliseconds)
            9 -> advance(random.nextInt(5).milliseconds)
            else -> repeat(limit.burst) { spend(gateway) }
        }
    }

    private fun advance(duration: Duration) {
        clock.advance(duration)
        val accrued = limit.ratePerSecond * duration.inWholeMilliseconds
        idealMilliTokens = minOf(limit.burst * 1000.0, idealMilliTokens + accrued)
    }

    private fun spend(gateway: Int) {
        if (!holders[gateway].trySpend()) return
        admitted += 1
        idealMilliTokens -= REQUEST_MILLI_TOKENS
        if (idealMilliTokens < -ROUNDING_MILLI_TOKENS) excess += 1
    }

    private fun claim(gateway: Int) {
        val holder = holders[gateway]
        val record = row?.first ?: RightsRecord.unused(limit)
        write(record.claimedBy(holder.holder, limit, ::hasEnded))
        apply(holder)
    }

    private fun give(gateway: Int) {
        val giver = holders[gateway]
        apply(giver)
        val record = row?.first ?: return
        val transfer = giver.beginTransfer(random.nextInt(1, 1001).coerceAtMost(giver.sharePermille)) ?: return
        if (random.nextInt(4) == 0) return giver.cancelTransfer(transfer)
        val receiver = holders[random.nextInt(GATEWAYS)]
        if (receiver === giver) return giver.cancelTransfer(transfer)
        write(record.moved(giver.holder, receiver.holder, transfer.sharePermille, transfer.milliTokens))
        if (random.nextBoolean()) apply(giver)
    }

    /** Releases a gateway's whole share after its loans have expired. */
    private fun release(gateway: Int) {
        advance(LENDER_VALIDITY)
        val holder = holders[gateway]
        apply(holder)
        val record = row?.first ?: return
        val transfer = holder.beginTransfer(holder.sharePermille) ?: return
        write(record.releasedBy(holder.holder, transfer.milliTokens))
    }

    /** Restarts the gateway under a new incarnation after its loans have expired. */
    private fun restart(gateway: Int) {
        advance(LENDER_VALIDITY)
        val next =
            holders[gateway]
                .holder.incarnation.value
                .toInt() + 1
        holders[gateway] = newHolder(gateway, next)
    }

    private fun lend(gateway: Int) {
        val lender = holders[gateway]
        val borrower = holders[random.nextInt(GATEWAYS)]
        if (borrower === lender) return
        val endsAt = clock.elapsed() + BORROWER_VALIDITY
        if (random.nextBoolean()) advance(random.nextInt(20).milliseconds)
        val loan = DelayedLoan(borrower, lender.lend(random.nextLong(1, 9000), LENDER_VALIDITY), endsAt)
        if (random.nextBoolean()) spendAllWithLateLoan(loan) else delayedLoans += loan
    }

    /** Lets the lender refill, spends the tokens of all holders, and only then delivers the loan to the borrower. */
    private fun spendAllWithLateLoan(loan: DelayedLoan) {
        if (random.nextBoolean()) give(random.nextInt(GATEWAYS))
        advance(random.nextInt(480).milliseconds)
        holders.indices.forEach { gateway -> repeat(limit.burst) { spend(gateway) } }
        loan.borrower.borrow(loan.milliTokens, loan.endsAt)
        repeat(limit.burst) { spend(holders.indexOf(loan.borrower)) }
    }

    private fun deliverLoan() {
        if (delayedLoans.isEmpty()) return
        val loan = delayedLoans.removeAt(random.nextInt(delayedLoans.size))
        if (random.nextInt(5) > 0) loan.borrower.borrow(loan.milliTokens, loan.endsAt)
    }

    private fun readLate(gateway: Int) {
        row?.let { delayedReads += holders[gateway] to it }
    }

    private fun deliverRead() {
        if (delayedReads.isEmpty()) return
        val (holder, read) = delayedReads.removeAt(random.nextInt(delayedReads.size))
        holder.apply(read.first, read.second)
    }

    private fun apply(holder: HeldRights) {
        row?.let { holder.apply(it.first, it.second) }
    }

    private fun write(record: RightsRecord) {
        row = record to (row?.second ?: 0) + 1
    }

    private fun hasEnded(holder: RightsHolder): Boolean = holders.none { it.holder == holder }

    private fun newHolder(
        gateway: Int,
        incarnation: Int,
    ) = heldRights(clock, RightsHolder(GatewayId("g$gateway"), Incarnation("$incarnation")), limit)

    private class DelayedLoan(
        val borrower: HeldRights,
        val milliTokens: Long,
        val endsAt: Duration,
    )

    private companion object {
        const val GATEWAYS = 4
        const val ROUNDING_MILLI_TOKENS = 0.001
        val BORROWER_VALIDITY = 500.milliseconds
        val LENDER_VALIDITY = 550.milliseconds
    }
}
