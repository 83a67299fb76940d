package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.KeyId

/**
 * Hands a sidecar the settings in force; the reply is one [Done].
 *
 * @property configVersion versions only grow, and a sidecar ignores a lower one
 * @property document the environment document as accepted
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
