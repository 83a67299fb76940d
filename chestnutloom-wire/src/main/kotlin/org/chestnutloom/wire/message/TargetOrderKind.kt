package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** What an order changes. */
@Serializable
public enum class TargetOrderKind {
    /** Load a model. */
    LOAD_MODEL,

    /** Load an adapter. */
    LOAD_ADAPTER,

    /** Change the engine's role. */
    SET_ROLE,
}
