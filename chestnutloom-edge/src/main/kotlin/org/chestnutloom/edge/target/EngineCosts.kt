package org.chestnutloom.edge.target

import org.chestnutloom.queue.PooledAverage
import org.chestnutloom.time.Clock
import kotlin.math.sqrt
import kotlin.time.Duration.Companion.minutes

/**
 * The costs of model calls. Work is counted in events.
 *
 * A call takes the time to the first byte, the prefill, and for each event a time that grows with the batch.
 */
internal class EngineCosts(
    private val clock: Clock,
) : ServiceCosts {
    private val eventMs = PooledAverage<Target>(PRIOR_EVENT_MS)
    private val firstByteMs = PooledAverage<Target>(PRIOR_FIRST_BYTE_MS)
    private val eventsByRoute = LinkedHashMap<String, PooledAverage<String>>()
    private val slope = BatchSlope(PRIOR_BATCH_SLOPE)
    private val prefill = PrefillTime()
    private var tokensPerEvent = 0
    private var meanUncachedTokens = 0.0

    override val batchSlope: Double
        get() = slope.value

    override fun work(traits: RequestTraits): Double {
        val learned = eventsByRoute[traits.route]?.estimate(accountOf(traits), clock.elapsed()) ?: PRIOR_EVENTS
        if (tokensPerEvent == 0) return learned
        val hint = traits.outputTokensHint
        // Hints are right at the median but often far off, so they count as much as what was learned.
        val expected = if (hint == null || hint <= 0) learned else withHint(learned, hint.toDouble() / tokensPerEvent)
        if (traits.maxOutputTokens <= 0) return expected
        return expected.coerceAtMost(traits.maxOutputTokens.toDouble() / tokensPerEvent).coerceAtLeast(1.0)
    }

    private fun withHint(
        learned: Double,
        hinted: Double,
    ): Double = sqrt(learned * hinted.coerceIn(learned / MAX_HINT_RATIO, learned * MAX_HINT_RATIO))

    override fun durationMs(
        work: Double,
        target: Target,
        others: Double,
    ): Double {
        val now = clock.elapsed()
        return firstByteMs.estimate(target, now) + work * eventMs.estimate(target, now) * slowdown(others)
    }

    override fun meanDurationMs(
        work: Double,
        others: Double,
    ): Double {
        val now = clock.elapsed()
        val prefillMs = meanUncachedTokens * prefill.msPerToken
        return firstByteMs.mean(now) + prefillMs + work * eventMs.mean(now) * slowdown(others)
    }

    override fun prefillTokensPerSecond(target: Target): Double =
        MS_PER_SECOND / (prefill.msPerToken * timeFactor(target))

    override fun timeFactors(): ClosedFloatingPointRange<Double>? = eventMs.range(clock.elapsed())

    override fun record(request: CompletedRequest) {
        if (request.events == 0) return
        tokensPerEvent = request.tokensPerEvent
        recordFirstByte(request)
        recordEvents(request)
    }

    override fun retain(isKept: (Target) -> Boolean) {
        eventMs.retain(isKept)
        firstByteMs.retain(isKept)
    }

    private fun recordFirstByte(request: CompletedRequest) {
        val now = clock.elapsed()
        val target = request.target
        val idleMs = firstByteMs.estimate(target, now)
        val wasCached = prefill.wasCached(request.uncachedTokens, request.firstByteMs, idleMs)
        meanUncachedTokens += UNCACHED_WEIGHT * ((if (wasCached) 0 else request.uncachedTokens) - meanUncachedTokens)
        if (wasCached) {
            firstByteMs.record(target, request.firstByteMs, now)
            return
        }
        val factor = timeFactor(target)
        val prefillMs = request.uncachedTokens * prefill.msPerToken * factor
        prefill.record(request.uncachedTokens, request.firstByteMs / factor)
        firstByteMs.record(target, (request.firstByteMs - prefillMs).coerceAtLeast(MIN_FIRST_BYTE_MS), now)
    }

    private fun recordEvents(request: CompletedRequest) {
        val now = clock.elapsed()
        val sampleMs = (request.totalMs - request.firstByteMs).coerceAtLeast(MIN_FIRST_BYTE_MS) / request.events
        eventMs.record(request.target, sampleMs / slowdown(request.others), now)
        slope.record(request.others, sampleMs / eventMs.estimate(request.target, now))
        eventsOf(request.traits.route).record(accountOf(request.traits), request.events.toDouble(), now)
    }

    private fun eventsOf(route: String): PooledAverage<String> {
        if (eventsByRoute.size >= MAX_ROUTES &&
            route !in eventsByRoute
        ) {
            eventsByRoute.remove(eventsByRoute.keys.first())
        }
        return eventsByRoute.getOrPut(route) { PooledAverage(PRIOR_EVENTS, EVENTS_HALF_LIFE) }
    }

    private fun accountOf(traits: RequestTraits) = traits.account?.value ?: ""

    private fun slowdown(others: Double) = 1 + batchSlope * others

    private fun timeFactor(target: Target): Double {
        val now = clock.elapsed()
        return eventMs.estimate(target, now) / eventMs.mean(now)
    }

    private companion object {
        /** Together the time that [ConstantRequestCosts] assumes for a typical request. */
        private const val PRIOR_FIRST_BYTE_MS = 10.0
        private const val PRIOR_EVENT_MS = 44.0
        private const val PRIOR_EVENTS = 10.0
        private const val PRIOR_BATCH_SLOPE = 0.018

        /** Below the resolution of what is measured. */
        private const val MIN_FIRST_BYTE_MS = 0.5
        private const val UNCACHED_WEIGHT = 0.05

        /** A hint outside this ratio is wrong, and must not make a target look busy for long. */
        private const val MAX_HINT_RATIO = 16.0
        private const val MS_PER_SECOND = 1_000.0

        /** The length of an account's outputs changes more slowly than the speed of a target. */
        private val EVENTS_HALF_LIFE = 5.minutes

        /** More than a configuration has; removed routes are dropped first. */
        private const val MAX_ROUTES = 256
    }
}
