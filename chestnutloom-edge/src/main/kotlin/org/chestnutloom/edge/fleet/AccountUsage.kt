package org.chestnutloom.edge.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * The number of requests of one client account that a gateway has admitted.
 *
 * @property admitted the total since the gateway started to count requests of this account
 */
@Serializable
@SerialName("org.chestnutloom.edge.fleet.AccountUse")
public data class AccountUsage(
    public val account: ClientAccountId,
    @SerialName("taken")
    public val admitted: Long,
)
