package org.chestnutloom.queue

import java.util.TreeSet
import kotlin.time.Duration

/**
 * The queued calls of one client account and the service it has received.
 *
 * @property virtualTokens tokens served, divided by the account's weight
 */
internal class AccountShare(
    var virtualTokens: Double,
) {
    var weight: Int = 1
    var runningCalls: Int = 0

    private val byService = TreeSet(serviceOrder)
    private val byArrival = TreeSet(arrivalOrder)
    private var tokens = 0L

    val hasCalls: Boolean
        get() = byService.isNotEmpty()

    /** Whether the account has queued or running calls. */
    val isActive: Boolean
        get() = hasCalls || runningCalls > 0

    fun add(call: QueuedCall) {
        byService.add(call)
        byArrival.add(call)
        tokens += call.costTokens
    }

    fun remove(call: QueuedCall) {
        if (!byService.remove(call)) return
        byArrival.remove(call)
        tokens -= call.costTokens
    }

    /** Returns the oldest call if it arrived before [starvedBefore], else the call of the least served program. */
    fun next(starvedBefore: Duration): QueuedCall? {
        val oldest = byArrival.firstOrNull() ?: return null
        return if (oldest.arrivedAt < starvedBefore) oldest else byService.first()
    }

    fun charge(chargedTokens: Long) {
        virtualTokens += chargedTokens / weight.toDouble()
    }

    /** Returns the cost of this account's calls that are ordered before [call]. */
    fun tokensBefore(call: QueuedCall): Long = byService.headSet(call).sumOf { it.costTokens }

    /** Returns the cost of this account's calls that start before it reaches [level] virtual tokens. */
    fun tokensUntil(level: Double): Long {
        val share = ((level - virtualTokens) * weight).toLong()
        return share.coerceIn(0, tokens)
    }

    private companion object {
        val arrivalOrder: Comparator<QueuedCall> = compareBy({ it.arrivedAt }, { it.id.value })
        val serviceOrder: Comparator<QueuedCall> = compareBy({ it.programServiceMs }, { it.arrivedAt }, { it.id.value })
    }
}
