package org.chestnutloom.edge.store

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** When this gateway last had a proper answer of the platform's store; used on the event loop only. */
public class StoreHealth(
    private val clock: Clock,
) {
    private var probedAt: Duration? = null
    private var answeredAt: Duration? = null
    private var lostAt: Duration? = null
    private var regainedAt: Duration? = null

    /** Whether the store failed a call and has answered none since. */
    public val isFailing: Boolean
        get() = lostAt != null

    /** Whether the store has failed for so long that another call is not worth its wait. */
    public val isUnavailable: Boolean
        get() = lostAt.let { it != null && clock.elapsed() - it > AWAY_AFTER }

    /** How long ago the store last answered, or null when it never did. */
    public val sinceLastAnswer: Duration?
        get() = answeredAt?.let { clock.elapsed() - it }

    /** How long ago the store answered for the first time after an outage, or null when there was none. */
    public val sinceRecovery: Duration?
        get() = regainedAt?.let { clock.elapsed() - it }

    /** Whether the store answered so lately that it can be taken to answer again. */
    public val hasRecentAnswer: Boolean
        get() = sinceLastAnswer.let { it != null && it < FRESH_FOR }

    /** Whether it is time to see whether the store is back; at most one caller in each interval is told so. */
    public fun claimProbe(): Boolean {
        val now = clock.elapsed()
        val isDue = probedAt.let { it == null || now - it >= PROBE_INTERVAL }
        if (isDue) probedAt = now
        return isDue
    }

    /** Takes note of a proper answer. */
    public fun recordSuccess() {
        val since = lostAt
        lostAt = null
        answeredAt = clock.elapsed()
        if (since == null) return
        if (clock.elapsed() - since > OUTAGE) regainedAt = answeredAt
        logger.event("store_regained", "after_ms" to (clock.elapsed() - since).inWholeMilliseconds)
    }

    /** Takes note of a call that the store refused or did not answer. */
    public fun recordFailure(detail: String) {
        if (lostAt != null) return
        lostAt = clock.elapsed()
        logger.warnEvent(
            "store_lost",
            "detail" to detail,
            "age_ms" to (sinceLastAnswer?.inWholeMilliseconds ?: "never"),
        )
    }

    private companion object {
        /** Shorter gaps do not let the rows of targets expire. */
        private val OUTAGE = 1_000.milliseconds
        private val PROBE_INTERVAL = 150.milliseconds
        private val AWAY_AFTER = 500.milliseconds

        /** A little longer than a watch takes to come back without news. */
        private val FRESH_FOR = 1_300.milliseconds
    }
}
