package org.chestnutloom.edge.quota

import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates the fleet-wide token bucket of one client account, in which each request takes one token.
 *
 * The level drops by the requests that this gateway admits and by those that other gateways report. An unresponsive
 * gateway is assumed to use an equal share of the rate and of the burst, and immediately an equal share of the remaining
 * level. A gateway that receives no heartbeats therefore limits itself to its equal share, and all shares together stay
 * within the limit.
 *
 * A new bucket starts empty because earlier usage is unknown.
 */
internal class AccountTokenBucket(
    private var limit: RateLimit,
    startedAt: Duration,
) {
    private var level = 0.0
    private var refilledAt = startedAt
    private val usageByPeer = HashMap<GatewayId, PeerUsage>()

    private var reported = 0L
    private var admitted = 0L

    /**
     * Whether so many requests were admitted since the last report that a report should be sent immediately. Otherwise
     * the other gateways could admit the same part of the burst.
     */
    fun isReportDue(fleetSize: Int): Boolean = admitted - reported >= capacity / (fleetSize * REPORTS_PER_BURST)

    /** Returns the number of requests admitted since the bucket was created, and marks it as reported. */
    fun report(): Long {
        reported = admitted
        return admitted
    }

    /** Changes the limit. The current level is kept, up to the new burst. */
    fun resize(
        to: RateLimit,
        now: Duration,
    ) {
        refill(now)
        limit = to
        level = level.coerceAtMost(capacity)
    }

    /** Admits one request if the level exceeds [reservedFraction] of the burst, and returns whether it was admitted. */
    fun tryAcquire(
        now: Duration,
        reservedFraction: Double = 0.0,
    ): Boolean {
        if (timeUntil(requests = 1, now, reservedFraction) > Duration.ZERO) return false
        level -= 1.0
        admitted++
        return true
    }

    /**
     * Takes up to [wanted] tokens that another gateway may hold unused for a short time, and returns their number.
     *
     * Only a part of what exceeds [reservedFraction] of the burst is lent, so that a few borrowers in succession leave
     * tokens for the others. None is lent while another gateway is unresponsive: the inaccuracy of its assumed usage and
     * that of loans would add up.
     */
    fun lend(
        wanted: Int,
        now: Duration,
        reservedFraction: Double,
    ): Int {
        refill(now)
        if (usageByPeer.values.any { it.isUnresponsive }) return 0
        val lendable = (level - capacity * reservedFraction) * LENDABLE_FRACTION
        val lent = minOf(wanted, lendable.toInt()).coerceAtLeast(0)
        level -= lent
        admitted += lent
        return lent
    }

    /** Returns [tokens] of requests that were admitted but did not run. */
    fun refund(tokens: Int = 1) {
        level = (level + tokens).coerceAtMost(capacity)
        admitted -= tokens
    }

    /**
     * Returns the time until [requests] can be admitted beyond [reservedFraction] of the burst, assuming that no other
     * gateway admits any.
     */
    fun timeUntil(
        requests: Int,
        now: Duration,
        reservedFraction: Double = 0.0,
    ): Duration {
        refill(now)
        val reserved = (capacity * reservedFraction).coerceAtMost(capacity - 1)
        val deficit = (requests + reserved - level).coerceAtLeast(0.0)
        return (deficit / limit.ratePerSecond).seconds
    }

    /** Records that [peer] has admitted a total of [peerAdmitted] requests since it started as [incarnation]. */
    fun recordPeerUsage(
        peer: GatewayId,
        incarnation: String,
        peerAdmitted: Long,
        now: Duration,
    ) {
        refill(now)
        val known = usageByPeer[peer]?.takeIf { it.incarnation == incarnation }
        val usage = known ?: PeerUsage(incarnation).also { usageByPeer[peer] = it }
        // The first report of an incarnation is only a baseline, since the requests in its total may be old.
        val newlyAdmitted = if (known == null) 0L else peerAdmitted - usage.reported
        level = (level - newlyAdmitted + usage.assumed).coerceAtMost(capacity)
        usage.reported = peerAdmitted
        usage.assumed = 0.0
        usage.isUnresponsive = false
    }

    /** Records that [peer], one of [fleetSize] gateways, has stopped reporting. */
    fun peerUnresponsive(
        peer: GatewayId,
        fleetSize: Int,
        now: Duration,
    ) {
        refill(now)
        val usage = usageByPeer.getOrPut(peer) { PeerUsage(incarnation = "") }
        if (usage.isUnresponsive) return
        usage.isUnresponsive = true
        usage.share = 1.0 / fleetSize
        if (level > 0) level -= level * usage.share
    }

    /** Removes the usage of [peer], which is no longer registered. */
    fun peerUnregistered(
        peer: GatewayId,
        now: Duration,
    ) {
        refill(now)
        usageByPeer.remove(peer)
    }

    private fun refill(now: Duration) {
        val refilled = (now - refilledAt).toDouble(DurationUnit.SECONDS) * limit.ratePerSecond
        refilledAt = now
        if (refilled <= 0) return
        val unresponsive = usageByPeer.values.filter { it.isUnresponsive }
        unresponsive.forEach { it.assumed += refilled * it.share }
        val ownShare = (1.0 - unresponsive.sumOf { it.share }).coerceAtLeast(0.0)
        level = (level + refilled * ownShare).coerceAtMost((capacity * ownShare).coerceAtLeast(1.0))
    }

    private val capacity: Double
        get() = limit.burst.coerceAtLeast(1).toDouble()

    private companion object {
        /** Leaves tokens for the other gateways that ask at about the same time. */
        private const val LENDABLE_FRACTION = 0.25

        /** A report is due after admissions of one gateway's equal share of the burst divided by this number. */
        private const val REPORTS_PER_BURST = 8.0
    }

    private class PeerUsage(
        val incarnation: String,
    ) {
        /** The total of admitted requests in the last report. */
        var reported = 0L

        /** The tokens withheld from refills for the gateway since it became unresponsive. */
        var assumed = 0.0

        /** The share of the rate that the gateway is assumed to use while it is unresponsive. */
        var share = 0.0
        var isUnresponsive = false
    }
}
