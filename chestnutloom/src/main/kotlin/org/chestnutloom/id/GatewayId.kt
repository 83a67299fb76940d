package org.chestnutloom.id

import kotlinx.serialization.Serializable

/** Identifies a gateway by the VM that it runs on; stable across process restarts. */
@JvmInline
@Serializable
public value class GatewayId(
    public val value: String,
) {
    override fun toString(): String = value
}
