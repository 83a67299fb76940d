package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Asks a peer gateway to transfer spare rate tokens of a client account; the reply is one [RightsMoved].
 *
 * @property validityMs how long after sending the request the tokens may be spent, in milliseconds; the peer lends for
 *   at most its own limit, so the sender must not request more
 */
@Serializable
@SerialName("request-rights")
public data class RequestRights(
    public val account: ClientAccountId,
    public val wantedMilliTokens: Long,
    public val validityMs: Long,
) : LinkRequest
