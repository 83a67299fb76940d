package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.KeyId

/**
 * Sends the current settings to a sidecar; the reply is one [Done].
 *
 * @property configVersion versions only increase; a sidecar ignores a lower version
 * @property document the accepted environment document
 * @property withdrawnKeys keys whose queued calls must not start
 */
@Serializable
@SerialName("apply-settings")
public data class ApplyTargetSettings(
    public val configVersion: Long,
    public val keyVersion: Long,
    public val document: String,
    public val withdrawnKeys: List<KeyId>,
) : LinkRequest
