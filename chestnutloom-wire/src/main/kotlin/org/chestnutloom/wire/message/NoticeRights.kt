package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId

/** Notifies a peer gateway that it was granted a share of a client account's rate limit; the reply is one [Done]. */
@Serializable
@SerialName("notice-rights")
public data class NoticeRights(
    public val account: ClientAccountId,
) : LinkRequest
