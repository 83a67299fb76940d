package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Names one gateway by the VM that it runs on; it outlives restarts of the process. */
@JvmInline
@Serializable
public value class GatewayId(
    public val value: String,
) {
    override fun toString(): String = value
}
