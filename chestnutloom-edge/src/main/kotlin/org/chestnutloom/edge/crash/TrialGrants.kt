package org.chestnutloom.edge.crash

import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The trials of quarantined requests that this gateway has granted to the gateways of the fleet; confined to the event loop. */
internal class TrialGrants(
    private val clock: Clock,
) {
    /** In the order of the grants. */
    private val grantedAt = LinkedHashMap<RequestFingerprint, Duration>()

    /** Grants a trial of [fingerprint], unless another one may still be in progress; returns whether it is granted. */
    fun grant(fingerprint: RequestFingerprint): Boolean {
        val now = clock.elapsed()
        grantedAt.values.removeIf { now - it >= INTERVAL }
        if (fingerprint in grantedAt || grantedAt.size >= MAX_GRANTS) return false
        grantedAt[fingerprint] = now
        return true
    }

    companion object {
        /** A trial that crashes its target has done so, and been reported, within this time. */
        val INTERVAL: Duration = 2.seconds
        private const val MAX_GRANTS = 256
    }
}
