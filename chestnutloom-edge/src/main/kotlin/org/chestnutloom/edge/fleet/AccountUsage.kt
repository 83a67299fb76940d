package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * What one gateway admitted of a client account.
 *
 * @property admitted requests since the gateway began to count
 */
@Serializable
@SerialName("org.chestnutloom.edge.fleet.AccountUse")
public data class AccountUsage(
    public val account: ClientAccountId,
    @SerialName("taken")
    public val admitted: Long,
)
