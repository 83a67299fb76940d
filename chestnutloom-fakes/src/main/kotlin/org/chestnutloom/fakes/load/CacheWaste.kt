package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable

/**
 * Wasted cache: prefill that the engines' prefix caches could have avoided, and cache held for programs that had ended.
 *
 * @property prefilledTokens prompt tokens that were prefilled
 * @property cachedTokens prompt tokens served from the cache
 * @property prefilledThoughCachedTokens prompt tokens prefilled on one engine while another engine had them cached
 * @property goneTokenSeconds tokens cached for ended programs, multiplied by the seconds they stayed cached
 * @property goneTokensAtEnd tokens still cached for ended programs at the end of the run
 */
@Serializable
internal data class CacheWaste(
    val prefilledTokens: Long,
    val cachedTokens: Long,
    val prefilledThoughCachedTokens: Long,
    val goneTokenSeconds: Double,
    val goneTokensAtEnd: Long,
)
