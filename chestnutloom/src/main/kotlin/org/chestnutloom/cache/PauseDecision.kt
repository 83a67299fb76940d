package org.chestnutloom.cache

/** Share of an engine's cache below which nobody needs the room that a paused program takes. */
private const val LOW_UTILIZATION = 0.5

/**
 * Decides what to do with the cache of a program that waits for a tool.
 *
 * The cache stays while the engine has room, or while the program is expected back before new prompts would need the
 * place. Otherwise it is exported when moving it out and back costs less than computing it again, and dropped when not.
 */
public fun pauseAction(costs: PauseCosts): PauseAction {
    val hasRoom = costs.cacheUtilization < LOW_UTILIZATION
    val room = costs.cacheTurnoverTime * (1.0 - costs.cacheUtilization).coerceAtLeast(0.0)
    if (hasRoom || costs.expectedPause <= room) return PauseAction.KEEP
    val transferSeconds = 2 * costs.cachedTokens / costs.transferTokensPerSecond
    val prefillSeconds = costs.cachedTokens / costs.prefillTokensPerSecond
    return if (transferSeconds < prefillSeconds) PauseAction.EXPORT else PauseAction.DROP
}
