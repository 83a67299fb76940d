package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/** Asks a peer gateway for tokens of a client account that it can spare; the reply is one [RightsMoved]. */
@Serializable
@SerialName("request-rights")
public data class RequestRights(
    public val account: ClientAccountId,
    public val wantedMilliTokens: Long,
) : LinkRequest
