package org.chestnutloom.rate

import kotlinx.serialization.Serializable

/**
 * What one holder has of a client account's rights.
 *
 * @property sharePermille the holder's share of rate and burst
 * @property grantedMilliTokens all tokens that ever came to this holder with shares, in thousandths; the holder adds
 *   to its bucket what it has not yet added
 */
@Serializable
public data class Holding(
    public val holder: RightsHolder,
    public val sharePermille: Int,
    public val grantedMilliTokens: Long,
)
