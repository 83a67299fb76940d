package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * What one gateway admitted of a client account.
 *
 * @property taken requests since the gateway began to count
 */
@Serializable
public data class AccountUse(
    public val account: ClientAccountId,
    public val taken: Long,
)
