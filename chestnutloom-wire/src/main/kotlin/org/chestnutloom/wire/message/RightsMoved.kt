package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/**
 * Tokens that the sender has already deducted from its own bucket; a lost message loses them.
 *
 * @property isShareKnown false when the sender does not yet know its own share of the account
 */
@Serializable
@SerialName("rights-moved")
public data class RightsMoved(
    public val account: ClientAccountId,
    public val milliTokens: Long,
    @SerialName("isCertain")
    public val isShareKnown: Boolean = true,
) : LinkReply
