package org.chestnutloom.edge.target

import org.chestnutloom.queue.PooledAverage
import org.chestnutloom.time.Clock

/** The costs of calls without an engine. Work is the service time of the route at an idle mean target. */
internal class PlainCosts(
    private val clock: Clock,
) : ServiceCosts {
    private val factor = PooledAverage<Target>(prior = 1.0)
    private val routeMs = PooledAverage<String>(PRIOR_SERVICE_MS)
    private val slope = BatchSlope(PRIOR_BATCH_SLOPE)

    override val batchSlope: Double
        get() = slope.value

    override fun work(traits: RequestTraits): Double = routeMs.estimate(traits.route, clock.elapsed())

    override fun durationMs(
        work: Double,
        target: Target,
        others: Double,
    ): Double = meanDurationMs(work, others) * timeFactor(target)

    override fun meanDurationMs(
        work: Double,
        others: Double,
    ): Double = work * (1 + batchSlope * others)

    override fun prefillTokensPerSecond(target: Target): Double = NO_PREFILL_TOKENS_PER_SECOND

    override fun timeFactors(): ClosedFloatingPointRange<Double>? = factor.range(clock.elapsed())

    override fun record(request: CompletedRequest) {
        val now = clock.elapsed()
        val idleMs = work(request.traits)
        val ratio = request.totalMs / idleMs
        val slowdown = 1 + batchSlope * request.others
        factor.record(request.target, ratio / slowdown, now)
        slope.record(request.others, ratio / timeFactor(request.target))
        routeMs.record(request.traits.route, request.totalMs / slowdown / timeFactor(request.target), now)
    }

    override fun retain(isKept: (Target) -> Boolean) {
        factor.retain(isKept)
    }

    private fun timeFactor(target: Target): Double {
        val now = clock.elapsed()
        return factor.estimate(target, now) / factor.mean(now)
    }

    private companion object {
        /** As in [ConstantRequestCosts]: each other request adds 5 ms to 80 ms. */
        private const val PRIOR_SERVICE_MS = 80.0
        private const val PRIOR_BATCH_SLOPE = 0.0625

        /** Plain targets process no prompt. */
        private const val NO_PREFILL_TOKENS_PER_SECOND = 1e9
    }
}
