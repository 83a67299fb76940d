package org.chestnutloom.common.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of change that an order makes to an engine. */
@Serializable
public enum class EngineOrderKind {
    /** Load a model. */
    @SerialName("load_model")
    LOAD_MODEL,

    /** Load an adapter. */
    @SerialName("load_adapter")
    LOAD_ADAPTER,

    /** Change the engine's role. */
    @SerialName("set_role")
    SET_ROLE,
}
