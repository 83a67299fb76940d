package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns a queue that shares the target among client accounts by weight.
 *
 * The account with the fewest tokens served for its weight goes first; an account that arrives starts level with the
 * least served one, unless it was served more before. Within an account the call goes first whose program got the least service so far. A call that has
 * waited longer than [starvationBound] goes before the other calls of its account, but not before other accounts: a
 * global bound would let an overloading account take the target over.
 */
public fun fairQueue(starvationBound: Duration = DEFAULT_STARVATION_BOUND): CallQueue = FairQueue(starvationBound)

private val DEFAULT_STARVATION_BOUND = 5.seconds

/** Weighted fair share across accounts, least attained service within an account. */
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
        take(call, share)
        share.charge(call.costTokens)
        share.runningCalls++
        return call
    }

    override fun remove(id: CallId): QueuedCall? {
        val call = calls[id] ?: return null
        val share = accounts.getValue(call.account)
        take(call, share)
        prune()
        return call
    }

    override fun tokensAhead(call: QueuedCall): Long {
        val own = accounts[call.account]
        val ownAhead = own?.tokensBefore(call) ?: 0
        val ownTokens = if (own != null && own.isActive) own.virtualTokens else startOf(own)
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
        prune()
    }

    private fun shareOf(call: QueuedCall): AccountShare {
        val share = accounts.getOrPut(call.account) { AccountShare(virtualTokens = 0.0) }
        if (!share.isActive) share.virtualTokens = startOf(share)
        share.weight = call.weight.coerceAtLeast(1)
        return share
    }

    /** The virtual tokens with which an account becomes active: it keeps its own, but gets no credit for being idle. */
    private fun startOf(share: AccountShare?): Double = maxOf(share?.virtualTokens ?: 0.0, level())

    /** The virtual tokens of the least served active account, or 0. */
    private fun level(): Double = accounts.values.filter { it.isActive }.minOfOrNull { it.virtualTokens } ?: 0.0

    private fun leastServed(): AccountShare? = accounts.values.filter { it.hasCalls }.minByOrNull { it.virtualTokens }

    private fun take(
        call: QueuedCall,
        share: AccountShare,
    ) {
        share.remove(call)
        calls.remove(call.id)
        queuedTokens -= call.costTokens
    }

    /** Forgets idle accounts that would start level with the least served one in any case. */
    private fun prune() {
        val level = level()
        val isIdle = accounts.values.none { it.isActive }
        accounts.values.removeIf { !it.isActive && (isIdle || it.virtualTokens <= level) }
    }
}
