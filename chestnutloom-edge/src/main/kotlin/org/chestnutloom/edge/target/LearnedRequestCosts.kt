package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart
import org.chestnutloom.time.Clock

/**
 * Estimates how long requests take from the responses of targets, and prefers targets that the request and those
 * already running delay least; confined to the event loop.
 */
internal class LearnedRequestCosts(
    private val directory: TargetDirectory,
    private val clock: Clock,
    private val onNewService: (name: String, costs: ServiceCosts) -> Unit = { _, _ -> },
) : RequestCosts {
    private val services = HashMap<ServiceKey, ServiceCosts>()
    private val placement = PrefixPlacement(directory, clock)

    // Costs are requested for each target in turn, so the values that are the same for all are computed once.
    private var lastRequired: TargetRequirements? = null
    private var lastRequest = Request(PlainCosts(clock), 0.0)

    init {
        directory.onChange { services.values.forEach { costs -> costs.retain { !it.isRemoved } } }
    }

    /** Returns the costs of the service of a request with [traits]. */
    fun serviceCosts(traits: RequestTraits): ServiceCosts =
        services.getOrPut(ServiceKey(traits.service, traits.isModelCall)) {
            val costs = if (traits.isModelCall) EngineCosts(clock) else PlainCosts(clock)
            costs.also { onNewService(traits.service, it) }
        }

    /** Counts a request with [traits] for the placement of prompt prefixes. */
    fun recordPrefix(traits: RequestTraits) {
        traits.prompt.firstOrNull()?.let { placement.record(traits.service, it) }
    }

    /** Learns from [request]. */
    fun record(request: CompletedRequest) {
        serviceCosts(request.traits).record(request)
        lastRequired = null
    }

    /** Returns the expected time of a request with [traits] that was just added to [target], in milliseconds. */
    fun expectedMs(
        traits: RequestTraits,
        target: Target,
    ): Double {
        val costs = serviceCosts(traits)
        val request = Request(costs, costs.work(traits))
        val uncached = (traits.promptTokens - cachedTokens(target, traits.prompt)).coerceAtLeast(0)
        val prefillMs = uncached * MS_PER_SECOND / costs.prefillTokensPerSecond(target)
        return ownMs(request, target, target.load - 1) + prefillMs
    }

    override fun cachedTokens(
        target: Target,
        required: TargetRequirements,
    ): Long = cachedTokens(target, required.prompt)

    override fun prefillTokensPerSecond(target: Target): Double =
        services[ServiceKey(target.entry.service, isModelCall = true)]?.prefillTokensPerSecond(target)
            ?: ConstantRequestCosts.prefillTokensPerSecond(target)

    override fun delayMs(
        target: Target,
        required: TargetRequirements,
    ): Double {
        val request = requestOf(required)
        val ownMs = ownMs(request, target, target.load)
        return ownMs + waitMs(target, ownMs) + addedMs(request.costs, target, ownMs)
    }

    override fun serviceTimeMs(required: TargetRequirements): Double {
        val request = requestOf(required)
        val ready = directory.ready(required.service)
        val meanLoad = if (ready.isEmpty()) 0.0 else ready.sumOf { it.load }.toDouble() / ready.size
        return request.costs.meanDurationMs(request.work, meanLoad)
    }

    private fun cachedTokens(
        target: Target,
        prompt: List<PromptPart>,
    ): Long {
        val known = target.cache.cachedTokens(prompt)
        val first = prompt.firstOrNull() ?: return known
        val assumed = first.tokens / ASSUMED_CACHED_DIVISOR
        // A request that has to wait for a slot loses more than it saves.
        if (known >= assumed || target.load >= target.entry.slots) return known
        return if (placement.isPreferred(target, first)) assumed else known
    }

    private fun requestOf(required: TargetRequirements): Request {
        if (required === lastRequired) return lastRequest
        val traits = traitsOf(required)
        val costs = serviceCosts(traits)
        lastRequest = Request(costs, costs.work(traits))
        lastRequired = required
        return lastRequest
    }

    private fun ownMs(
        request: Request,
        target: Target,
        others: Int,
    ): Double = request.costs.durationMs(request.work, target, others.coerceIn(0, target.entry.slots - 1).toDouble())

    /** Returns the time until a slot of [target] is free. */
    private fun waitMs(
        target: Target,
        ownMs: Double,
    ): Double {
        val excess = target.load - target.entry.slots + 1
        if (excess <= 0) return 0.0
        val meanRemainingMs = remainingMs(target, Double.MAX_VALUE, ownMs) / target.load
        // The remaining times are spread between zero and twice their mean.
        return excess * 2 * meanRemainingMs / (target.entry.slots + 1)
    }

    /** Returns by how much a request of [ownMs] delays those in progress at [target], in total. */
    private fun addedMs(
        costs: ServiceCosts,
        target: Target,
        ownMs: Double,
    ): Double {
        val others = target.load.coerceAtMost(target.entry.slots)
        return costs.batchSlope / (1 + costs.batchSlope * others) * remainingMs(target, ownMs, ownMs)
    }

    /** Returns the remaining time of the requests in progress at [target], of each at most [limitMs]. */
    private fun remainingMs(
        target: Target,
        limitMs: Double,
        typicalMs: Double,
    ): Double {
        val own = target.work.overlapMs(clock.elapsed(), limitMs)
        val notStarted = (target.inFlight - target.work.size).coerceAtLeast(0) * minOf(typicalMs, limitMs)
        // Gateways of earlier builds report no work.
        val peerMs = if (target.peerWorkMs > 0) target.peerWorkMs.toDouble() else target.peerInFlight * typicalMs / 2
        val peers = if (limitMs == Double.MAX_VALUE) peerMs else minOf(peerMs, target.peerInFlight * limitMs)
        return own + notStarted + peers
    }

    private data class ServiceKey(
        val service: String,
        val isModelCall: Boolean,
    )

    private class Request(
        val costs: ServiceCosts,
        val work: Double,
    )

    private companion object {
        private const val MS_PER_SECOND = 1_000.0

        /** The part of a prefix that a preferred target is assumed to have cached: some other gateway may have sent it. */
        private const val ASSUMED_CACHED_DIVISOR = 2L
    }
}
