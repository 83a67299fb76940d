package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The action that an order requests. */
@Serializable
internal enum class OrderKind {
    /** Loads the model given by the argument. */
    @SerialName("load_model")
    LOAD_MODEL,

    /** Loads the adapter given by the argument. */
    @SerialName("load_adapter")
    LOAD_ADAPTER,

    /** Switches to the role given by the argument. */
    @SerialName("set_role")
    SET_ROLE,
}
