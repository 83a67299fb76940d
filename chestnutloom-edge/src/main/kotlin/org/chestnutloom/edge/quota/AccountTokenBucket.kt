package org.chestnutloom.edge.quota

import org.chestnutloom.id.GatewayId
import org.chestnutloom.rate.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimates what is left of one client account's rate and burst over the whole fleet.
 *
 * The level falls by what this gateway admits and by what other gateways report. Of a gateway that reports nothing it
 * is assumed that it uses its even part of the rate, and at once its even part of what was left. A gateway that cannot
 * hear any other therefore keeps to its even part, and all parts together stay within the limit.
 *
 * A new meter starts empty, as it does not know what was used before.
 */
internal class AccountTokenBucket(
    private var limit: RateLimit,
    startedAt: Duration,
) {
    private var level = 0.0
    private var refilledAt = startedAt
    private val takenByPeer = HashMap<GatewayId, PeerUse>()

    private var reported = 0L
    private var taken = 0L

    /**
     * Whether so much was admitted since the last report that the other gateways should hear of it at once, as they
     * could otherwise admit the same part of the burst.
     */
    fun isReportDue(fleetSize: Int): Boolean = taken - reported >= capacity / (fleetSize * REPORTS_PER_BURST)

    /** Returns how many requests this gateway admitted since the meter was made, for a report to the others. */
    fun report(): Long {
        reported = taken
        return taken
    }

    /** Changes the limit; what was left counts on up to the new burst. */
    fun resize(
        to: RateLimit,
        now: Duration,
    ) {
        refill(now)
        limit = to
        level = level.coerceAtMost(capacity)
    }

    /** Admits one request if the account has something left beyond [keptPart] of its burst. */
    fun tryAcquire(
        now: Duration,
        keptPart: Double = 0.0,
    ): Boolean {
        if (timeUntil(requests = 1, now, keptPart) > Duration.ZERO) return false
        level -= 1.0
        taken++
        return true
    }

    /** Gives back what was taken for a request that did not run, so that it does not count. */
    fun refund() {
        level = (level + 1.0).coerceAtMost(capacity)
        taken--
    }

    /**
     * Returns how long it takes until [requests] can be admitted beyond [keptPart] of the burst, if no other gateway
     * admits any.
     */
    fun timeUntil(
        requests: Int,
        now: Duration,
        keptPart: Double = 0.0,
    ): Duration {
        refill(now)
        val kept = (capacity * keptPart).coerceAtMost(capacity - 1)
        val missing = (requests + kept - level).coerceAtLeast(0.0)
        return (missing / limit.ratePerSecond).seconds
    }

    /** Takes note that [peer] admitted [peerTaken] requests since it started as [incarnation]. */
    fun recordPeerUsage(
        peer: GatewayId,
        incarnation: String,
        peerTaken: Long,
        now: Duration,
    ) {
        refill(now)
        val known = takenByPeer[peer]?.takeIf { it.incarnation == incarnation }
        val use = known ?: PeerUse(incarnation).also { takenByPeer[peer] = it }
        // Of a gateway that was not heard before, only what it admits from now on is known to be recent.
        val fresh = if (known == null) 0L else peerTaken - use.reported
        level = (level - fresh + use.assumed).coerceAtMost(capacity)
        use.reported = peerTaken
        use.assumed = 0.0
        use.isSilent = false
    }

    /** Takes note that [peer], one of [fleetSize] gateways, has stopped reporting. */
    fun peerSilent(
        peer: GatewayId,
        fleetSize: Int,
        now: Duration,
    ) {
        refill(now)
        val use = takenByPeer.getOrPut(peer) { PeerUse(incarnation = "") }
        if (use.isSilent) return
        use.isSilent = true
        use.share = 1.0 / fleetSize
        if (level > 0) level -= level * use.share
    }

    /** Takes note that [peer] is no gateway any more. */
    fun peerUnregistered(
        peer: GatewayId,
        now: Duration,
    ) {
        refill(now)
        takenByPeer.remove(peer)
    }

    private fun refill(now: Duration) {
        val gained = (now - refilledAt).toDouble(DurationUnit.SECONDS) * limit.ratePerSecond
        refilledAt = now
        if (gained <= 0) return
        val silent = takenByPeer.values.filter { it.isSilent }
        silent.forEach { it.assumed += gained * it.share }
        val ownPart = 1.0 - silent.sumOf { it.share }
        level = (level + gained * ownPart.coerceAtLeast(0.0)).coerceAtMost(capacity)
    }

    private val capacity: Double
        get() = limit.burst.coerceAtLeast(1).toDouble()

    private companion object {
        private const val REPORTS_PER_BURST = 8.0
    }

    private class PeerUse(
        val incarnation: String,
    ) {
        var reported = 0L
        var assumed = 0.0
        var share = 0.0
        var isSilent = false
    }
}
