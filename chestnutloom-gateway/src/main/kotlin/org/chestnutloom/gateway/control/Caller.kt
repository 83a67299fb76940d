package org.chestnutloom.gateway.control

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId

/** The authenticated client of a request: its client account and the key that it presented. */
public data class Caller(
    public val account: ClientAccountId,
    public val key: KeyId,
)
