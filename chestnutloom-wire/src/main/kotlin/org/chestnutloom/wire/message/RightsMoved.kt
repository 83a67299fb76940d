package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Transfers tokens that the sender has already deducted from its own bucket; if the message is lost, so are they.
 *
 * @property isShareKnown false when the sender does not know its own share of the account yet
 */
@Serializable
@SerialName("rights-moved")
public data class RightsMoved(
    public val account: ClientAccountId,
    public val milliTokens: Long,
    @SerialName("isCertain")
    public val isShareKnown: Boolean = true,
) : LinkReply
