package org.chestnutloom.common.engine

import kotlinx.serialization.Serializable

/**
 * An order that changes what an engine serves.
 *
 * @property fencing grows with each new giver of orders; some engines refuse lower numbers
 * @property argument the model, adapter or role
 */
@Serializable
public data class EngineOrder(
    public val fencing: Long,
    public val kind: EngineOrderKind,
    public val argument: String,
)
