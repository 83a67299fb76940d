package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** The kind of change that an order makes to a target's engine. */
@Serializable
public enum class TargetOrderKind {
    /** Load a model. */
    LOAD_MODEL,

    /** Load an adapter. */
    LOAD_ADAPTER,

    /** Change the engine's role. */
    SET_ROLE,
}
