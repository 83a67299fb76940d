package org.chestnutloom.cache

/** Cache utilization below which the cache is under no pressure, so paused programs keep theirs. */
private const val LOW_UTILIZATION = 0.5

/**
 * Decides what to do with the cache of a program during a tool call.
 *
 * The cache is kept while the engine's utilization is low, or if the program is expected to resume before new prompts
 * fill the free space. Otherwise it is exported if the transfer out and back takes less time than recomputing it, and
 * dropped if not.
 */
public fun pauseAction(costs: PauseCosts): PauseAction {
    val isUtilizationLow = costs.cacheUtilization < LOW_UTILIZATION
    val timeToFill = costs.cacheTurnoverTime * (1.0 - costs.cacheUtilization).coerceAtLeast(0.0)
    if (isUtilizationLow || costs.expectedPause <= timeToFill) return PauseAction.KEEP
    val transferSeconds = 2 * costs.cachedTokens / costs.transferTokensPerSecond
    val prefillSeconds = costs.cachedTokens / costs.prefillTokensPerSecond
    return if (transferSeconds < prefillSeconds) PauseAction.EXPORT else PauseAction.DROP
}
