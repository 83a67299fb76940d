package org.chestnutloom.edge.store

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Tracks whether the platform's store responds to this gateway; confined to the event loop. */
public class StoreHealth(
    private val clock: Clock,
) {
    private var lastProbeAt: Duration? = null
    private var lastResponseAt: Duration? = null
    private var failingSince: Duration? = null
    private var recoveredAt: Duration? = null

    /** Whether a call to the store has failed and none has succeeded since. */
    public val isFailing: Boolean
        get() = failingSince != null

    /** Whether the store has been failing for so long that calls should not wait for it. */
    public val isUnavailable: Boolean
        get() = failingSince.let { it != null && clock.elapsed() - it > UNAVAILABLE_AFTER }

    /** The time since the store last responded, or null if it never has. */
    public val sinceLastResponse: Duration?
        get() = lastResponseAt?.let { clock.elapsed() - it }

    /** The time since the store recovered from the last outage, or null if there was none. */
    public val sinceRecovery: Duration?
        get() = recoveredAt?.let { clock.elapsed() - it }

    /** Whether the last response is recent enough to assume that the store is reachable. */
    public val hasRecentResponse: Boolean
        get() = sinceLastResponse.let { it != null && it < RECENT_RESPONSE_TIME }

    /** Returns whether the caller should probe the failing store. Allows at most one probe per interval. */
    public fun claimProbe(): Boolean {
        val now = clock.elapsed()
        val isDue = lastProbeAt.let { it == null || now - it >= PROBE_INTERVAL }
        if (isDue) lastProbeAt = now
        return isDue
    }

    /** Records that the store responded to a call. */
    public fun recordSuccess() {
        val since = failingSince
        failingSince = null
        lastResponseAt = clock.elapsed()
        if (since == null) return
        if (clock.elapsed() - since > MIN_OUTAGE) recoveredAt = lastResponseAt
        logger.event("store_regained", "after_ms" to (clock.elapsed() - since).inWholeMilliseconds)
    }

    /** Records that the store refused a call or did not respond to it. */
    public fun recordFailure(detail: String) {
        if (failingSince != null) return
        failingSince = clock.elapsed()
        logger.warnEvent(
            "store_lost",
            "detail" to detail,
            "age_ms" to (sinceLastResponse?.inWholeMilliseconds ?: "never"),
        )
    }

    private companion object {
        /** During shorter outages the rows of targets do not expire. */
        private val MIN_OUTAGE = 1_000.milliseconds
        private val PROBE_INTERVAL = 150.milliseconds
        private val UNAVAILABLE_AFTER = 500.milliseconds

        /** Slightly longer than a watch waits before it returns without changes. */
        private val RECENT_RESPONSE_TIME = 1_300.milliseconds
    }
}
