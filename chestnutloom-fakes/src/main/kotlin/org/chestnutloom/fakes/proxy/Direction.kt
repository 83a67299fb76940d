package org.chestnutloom.fakes.proxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Which way bytes go through a proxy. */
@Serializable
public enum class Direction {
    /** From the side that opened the connection. */
    @SerialName("to_target")
    TO_TARGET,

    /** Back to the side that opened the connection. */
    @SerialName("to_caller")
    TO_CALLER,
}
