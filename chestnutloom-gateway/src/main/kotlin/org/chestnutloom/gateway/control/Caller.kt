package org.chestnutloom.gateway.control

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId

/** Who a request runs for: the client account whose key came with it. */
public data class Caller(
    public val account: ClientAccountId,
    public val key: KeyId,
)
