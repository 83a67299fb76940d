package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Returns tokens of [account] that no target ran a request for to the replica that granted them.
 *
 * @property id the id of the [QuotaRequest]
 * @property count the total number of tokens of that request returned so far, so that a message that arrives twice or
 *   after a later one changes nothing
 */
@Serializable
@SerialName("quota_refund")
public data class QuotaRefund(
    public val id: Long,
    public val account: ClientAccountId,
    public val count: Int = 1,
) : FleetMessage
