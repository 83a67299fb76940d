package org.chestnutloom.rate

import kotlinx.serialization.Serializable

/**
 * The part of a client account's rights that one holder has.
 *
 * @property sharePermille the holder's share of rate and burst
 * @property grantedMilliTokens total tokens ever granted to this holder with shares, in thousandths; the holder adds to
 *   its bucket the part that it has not added yet
 */
@Serializable
public data class Holding(
    public val holder: RightsHolder,
    public val sharePermille: Int,
    public val grantedMilliTokens: Long,
)
