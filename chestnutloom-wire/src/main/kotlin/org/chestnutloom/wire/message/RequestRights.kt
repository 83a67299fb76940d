package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Asks a peer gateway for tokens of a client account that it can spare; the reply is one [RightsMoved].
 *
 * @property validityMs how long after sending this the tokens may be spent, in milliseconds; the peer lends for no
 *   longer than its own limit, so a sender asks for no more than that
 */
@Serializable
@SerialName("request-rights")
public data class RequestRights(
    public val account: ClientAccountId,
    public val wantedMilliTokens: Long,
    public val validityMs: Long,
) : LinkRequest
