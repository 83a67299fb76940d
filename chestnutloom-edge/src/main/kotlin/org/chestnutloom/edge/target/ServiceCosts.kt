package org.chestnutloom.edge.target

/** Learns how long the targets of one service take for requests; confined to the event loop. */
internal interface ServiceCosts {
    /** By what fraction of a target's time for a request each other request in progress prolongs it. */
    val batchSlope: Double

    /** Returns the amount of work of a request with [traits], in the service's unit: events, or ms at a mean target. */
    fun work(traits: RequestTraits): Double

    /** Returns how long [work] takes at [target] with [others] other requests, without prefill, in milliseconds. */
    fun durationMs(
        work: Double,
        target: Target,
        others: Double,
    ): Double

    /** Returns how long [work] takes at a mean target with [others] other requests and the usual prefill, in ms. */
    fun meanDurationMs(
        work: Double,
        others: Double,
    ): Double

    /** Returns the prefill rate of [target] in uncached prompt tokens per second. */
    fun prefillTokensPerSecond(target: Target): Double

    /** Returns the learned time of the fastest and of the slowest target relative to the mean, or null if unknown. */
    fun timeFactors(): ClosedFloatingPointRange<Double>?

    /** Learns from [request]. */
    fun record(request: CompletedRequest)

    /** Drops the targets for which [isKept] is false. */
    fun retain(isKept: (Target) -> Boolean)
}
