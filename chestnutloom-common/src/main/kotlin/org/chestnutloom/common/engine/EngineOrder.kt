package org.chestnutloom.common.engine

import kotlinx.serialization.Serializable

/**
 * An order to change what an engine serves.
 *
 * @property fencing the fencing token of the issuer, higher for each new issuer; some engines reject lower tokens
 * @property argument the name of the model, adapter or role
 */
@Serializable
public data class EngineOrder(
    public val fencing: Long,
    public val kind: EngineOrderKind,
    public val argument: String,
)
