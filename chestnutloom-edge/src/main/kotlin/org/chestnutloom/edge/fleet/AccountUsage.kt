package org.chestnutloom.edge.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.chestnutloom.id.ClientAccountId

/**
 * The number of requests of one client account that a gateway has admitted.
 *
 * @property admitted the total since the gateway started to count requests of this account
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class AccountUsage(
    public val account: ClientAccountId,
    public val admitted: Long,
)
