package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Notifies a peer gateway of newer versions in the table service; the reply is one [Done]. */
@Serializable
@SerialName("notice-versions")
public data class NoticeVersions(
    public val configVersion: Long,
    public val keyVersion: Long,
) : LinkRequest
