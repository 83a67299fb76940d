package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a sidecar to change what its engine serves.
 *
 * The reply is one [Done], one [OrderFenced], or one [CallRefused] when the engine did not confirm the order.
 *
 * @property fencing grows with each new giver of orders; the sidecar refuses lower numbers than it has seen
 * @property argument the model, adapter or role
 */
@Serializable
@SerialName("order")
public data class OrderTarget(
    public val fencing: Long,
    public val kind: TargetOrderKind,
    public val argument: String,
) : LinkRequest
