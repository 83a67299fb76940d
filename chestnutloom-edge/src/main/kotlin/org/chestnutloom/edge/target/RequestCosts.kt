package org.chestnutloom.edge.target

/** Estimates how long requests take. */
internal interface RequestCosts {
    /** Returns the prefill rate of [target] in uncached prompt tokens per second. */
    fun prefillTokensPerSecond(target: Target): Double

    /** Returns the number of prompt tokens of a request with [required] that [target] is expected to have cached. */
    fun cachedTokens(
        target: Target,
        required: TargetRequirements,
    ): Long = target.cache.cachedTokens(required.prompt)

    /**
     * Returns the expected delay in milliseconds of a response from [target], without the prefill of the request.
     *
     * It is comparable between targets only: it may contain the time of the request at an idle target, and the delay of
     * the requests that are already there.
     */
    fun delayMs(
        target: Target,
        required: TargetRequirements,
    ): Double

    /** Returns how long a request with [required] is expected to occupy a slot, in milliseconds. */
    fun serviceTimeMs(required: TargetRequirements): Double
}
