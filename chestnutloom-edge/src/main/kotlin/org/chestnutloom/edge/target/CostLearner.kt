package org.chestnutloom.edge.target

import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Measures requests at targets for [costs], and tracks the work in progress there; confined to the event loop. */
internal class CostLearner(
    private val costs: LearnedRequestCosts,
    private val metrics: CostMetrics,
    private val clock: Clock,
) {
    private val attempts = HashMap<Any, Attempt>()

    /** Records that the request [key] with [traits], which has a slot at [target], is sent there. */
    fun started(
        key: Any,
        traits: RequestTraits,
        target: Target,
    ) {
        val now = clock.elapsed()
        val expectedMs = costs.expectedMs(traits, target)
        val uncached = (traits.promptTokens - target.cache.cachedTokens(traits.prompt)).coerceAtLeast(0)
        attempts[key] = Attempt(traits, target, now, expectedMs, uncached, target.load - 1)
        target.work.add(key, now, expectedMs)
        costs.recordPrefix(traits)
    }

    /** Records that the response to the request [key] has begun. */
    fun responseBegun(key: Any) {
        attempts[key]?.begunAt = clock.elapsed()
    }

    /** Records that the request [key] has ended without a response to learn from. */
    fun failed(key: Any) {
        remove(key)
    }

    /** Records that the request [key] has been served, with [events] of [tokensPerEvent] each if it was a stream. */
    fun completed(
        key: Any,
        events: Int,
        tokensPerEvent: Int,
    ) {
        val attempt = remove(key) ?: return
        val begunAt = attempt.begunAt ?: return
        val totalMs = attempt.msUntil(clock.elapsed())
        val others = (attempt.othersAtStart + attempt.target.load - 1).coerceAtLeast(0) / 2.0
        metrics.errorsOf(attempt.traits.route).record(attempt.expectedMs, totalMs)
        costs.record(
            CompletedRequest(
                attempt.traits,
                attempt.target,
                attempt.uncachedTokens,
                others.coerceAtMost(attempt.target.entry.slots - 1.0),
                attempt.msUntil(begunAt),
                totalMs,
                events,
                tokensPerEvent,
            ),
        )
    }

    private fun remove(key: Any): Attempt? = attempts.remove(key)?.also { it.target.work.remove(key) }

    private class Attempt(
        val traits: RequestTraits,
        val target: Target,
        val startedAt: Duration,
        val expectedMs: Double,
        val uncachedTokens: Long,
        val othersAtStart: Int,
    ) {
        var begunAt: Duration? = null

        fun msUntil(time: Duration): Double = (time - startedAt).toDouble(DurationUnit.MILLISECONDS)
    }
}
