package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an order tells an engine to do. */
@Serializable
internal enum class OrderKind {
    /** Loads the model that the argument names. */
    @SerialName("load_model")
    LOAD_MODEL,

    /** Loads the adapter that the argument names. */
    @SerialName("load_adapter")
    LOAD_ADAPTER,

    /** Takes the role that the argument names. */
    @SerialName("set_role")
    SET_ROLE,
}
