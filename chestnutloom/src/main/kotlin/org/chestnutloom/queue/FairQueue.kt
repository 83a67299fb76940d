package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns a queue that shares the target among client accounts by weight.
 *
 * The account with the fewest served tokens relative to its weight goes first. An account that becomes active starts at
 * the level of the least served active account, unless it was served more before. Within an account, the call whose
 * program received the least service goes first. A call that has waited longer than [starvationBound] goes before the
 * other calls of its account, but not before those of other accounts: with a global bound, an overloading account could
 * monopolize the target.
 */
public fun fairQueue(starvationBound: Duration = DEFAULT_STARVATION_BOUND): CallQueue = FairQueue(starvationBound)

private val DEFAULT_STARVATION_BOUND = 5.seconds

/** Weighted fair sharing across accounts, least attained service within an account. */
internal class FairQueue(
    private val starvationBound: Duration,
) : CallQueue {
    private val accounts = LinkedHashMap<ClientAccountId?, AccountShare>()
    private val calls = HashMap<CallId, QueuedCall>()

    override val size: Int
        get() = calls.size

    override var queuedTokens: Long = 0
        private set

    override fun add(call: QueuedCall) {
        val share = shareOf(call)
        share.add(call)
        calls[call.id] = call
        queuedTokens += call.costTokens
    }

    override fun poll(now: Duration): QueuedCall? {
        val share = leastServed() ?: return null
        val call = share.next(now - starvationBound) ?: return null
        detach(call, share)
        share.charge(call.costTokens)
        share.runningCalls++
        return call
    }

    override fun remove(id: CallId): QueuedCall? {
        val call = calls[id] ?: return null
        val share = accounts.getValue(call.account)
        detach(call, share)
        removeIdleAccounts()
        return call
    }

    override fun tokensAhead(call: QueuedCall): Long {
        val own = accounts[call.account]
        val ownAhead = own?.tokensBefore(call) ?: 0
        val ownTokens = if (own != null && own.isActive) own.virtualTokens else startingTokens(own)
        val start = ownTokens + ownAhead / call.weight.toDouble()
        val others = accounts.filterKeys { it != call.account }.values
        return ownAhead + others.sumOf { it.tokensUntil(start) }
    }

    override fun complete(
        call: QueuedCall,
        usedTokens: Long,
    ) {
        val share = accounts[call.account] ?: return
        share.charge(usedTokens - call.costTokens)
        share.runningCalls--
        removeIdleAccounts()
    }

    private fun shareOf(call: QueuedCall): AccountShare {
        val share = accounts.getOrPut(call.account) { AccountShare(virtualTokens = 0.0) }
        if (!share.isActive) share.virtualTokens = startingTokens(share)
        share.weight = call.weight.coerceAtLeast(1)
        return share
    }

    /** Returns the virtual tokens with which an account becomes active: its own, without credit for idle time. */
    private fun startingTokens(share: AccountShare?): Double = maxOf(share?.virtualTokens ?: 0.0, minTokens())

    /** Returns the virtual tokens of the least served active account, or 0 if none is active. */
    private fun minTokens(): Double = accounts.values.filter { it.isActive }.minOfOrNull { it.virtualTokens } ?: 0.0

    private fun leastServed(): AccountShare? = accounts.values.filter { it.hasCalls }.minByOrNull { it.virtualTokens }

    private fun detach(
        call: QueuedCall,
        share: AccountShare,
    ) {
        share.remove(call)
        calls.remove(call.id)
        queuedTokens -= call.costTokens
    }

    /** Removes idle accounts that would start at the minimum level in any case. */
    private fun removeIdleAccounts() {
        val minimum = minTokens()
        val areAllIdle = accounts.values.none { it.isActive }
        accounts.values.removeIf { !it.isActive && (areAllIdle || it.virtualTokens <= minimum) }
    }
}
