package org.chestnutloom.common.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an order changes. */
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
