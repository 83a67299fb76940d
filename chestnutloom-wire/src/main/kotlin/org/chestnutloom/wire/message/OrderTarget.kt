package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Orders a sidecar to change what its engine serves.
 *
 * The reply is one [Done], one [OrderFenced], or one [CallRefused] if the engine did not confirm the order.
 *
 * @property fencing the fencing token, higher for each new issuer; the sidecar rejects a token below the highest seen
 * @property argument the name of the model, adapter or role
 */
@Serializable
@SerialName("order")
public data class OrderTarget(
    public val fencing: Long,
    public val kind: TargetOrderKind,
    public val argument: String,
) : LinkRequest
