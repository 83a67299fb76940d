package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable

/**
 * What the engines' prefix caches could have spared, and held for nothing.
 *
 * @property prefilledTokens prompt tokens that were prefilled
 * @property cachedTokens prompt tokens that the cache spared
 * @property prefilledThoughCachedTokens prompt tokens that were prefilled on one engine while another held them
 * @property goneTokenSeconds tokens held for programs that were gone, times the seconds that they were held
 * @property goneTokensAtEnd tokens still held at the end for programs that were gone
 */
@Serializable
internal data class CacheWaste(
    val prefilledTokens: Long,
    val cachedTokens: Long,
    val prefilledThoughCachedTokens: Long,
    val goneTokenSeconds: Double,
    val goneTokensAtEnd: Long,
)
