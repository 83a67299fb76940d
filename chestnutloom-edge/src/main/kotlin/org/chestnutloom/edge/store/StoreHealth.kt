package org.chestnutloom.edge.store

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Tracks whether the platform's store answers this gateway. Must be used on the event loop only. */
public class StoreHealth(
    private val clock: Clock,
) {
    private var lastProbeAt: Duration? = null
    private var lastAnswerAt: Duration? = null
    private var failingSince: Duration? = null
    private var recoveredAt: Duration? = null

    /** Whether a call to the store has failed and none has succeeded since. */
    public val isFailing: Boolean
        get() = failingSince != null

    /** Whether the store has been failing for so long that calls should not wait for it. */
    public val isUnavailable: Boolean
        get() = failingSince.let { it != null && clock.elapsed() - it > UNAVAILABLE_AFTER }

    /** Time since the last answer of the store, or null if it has never answered. */
    public val sinceLastAnswer: Duration?
        get() = lastAnswerAt?.let { clock.elapsed() - it }

    /** Time since the store recovered from the last outage, or null if there was none. */
    public val sinceRecovery: Duration?
        get() = recoveredAt?.let { clock.elapsed() - it }

    /** Whether the last answer is recent enough to assume that the store is reachable. */
    public val hasRecentAnswer: Boolean
        get() = sinceLastAnswer.let { it != null && it < RECENT_ANSWER_TIME }

    /** Returns whether the caller should probe the failing store. Allows at most one probe per interval. */
    public fun claimProbe(): Boolean {
        val now = clock.elapsed()
        val isDue = lastProbeAt.let { it == null || now - it >= PROBE_INTERVAL }
        if (isDue) lastProbeAt = now
        return isDue
    }

    /** Records that the store answered a call. */
    public fun recordSuccess() {
        val since = failingSince
        failingSince = null
        lastAnswerAt = clock.elapsed()
        if (since == null) return
        if (clock.elapsed() - since > MIN_OUTAGE) recoveredAt = lastAnswerAt
        logger.event("store_regained", "after_ms" to (clock.elapsed() - since).inWholeMilliseconds)
    }

    /** Records that the store refused a call or did not answer it. */
    public fun recordFailure(detail: String) {
        if (failingSince != null) return
        failingSince = clock.elapsed()
        logger.warnEvent(
            "store_lost",
            "detail" to detail,
            "age_ms" to (sinceLastAnswer?.inWholeMilliseconds ?: "never"),
        )
    }

    private companion object {
        /** During shorter outages the rows of targets do not expire. */
        private val MIN_OUTAGE = 1_000.milliseconds
        private val PROBE_INTERVAL = 150.milliseconds
        private val UNAVAILABLE_AFTER = 500.milliseconds

        /** Slightly longer than a watch waits before it returns without changes. */
        private val RECENT_ANSWER_TIME = 1_300.milliseconds
    }
}
