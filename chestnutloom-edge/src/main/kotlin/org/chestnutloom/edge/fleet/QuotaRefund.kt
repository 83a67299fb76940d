package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Returns the token of an admitted request of [account] that no target ran to the replica that granted it.
 *
 * @property id the id of the [QuotaRequest]
 */
@Serializable
@SerialName("quota_refund")
public data class QuotaRefund(
    public val id: Long,
    public val account: ClientAccountId,
) : FleetMessage
