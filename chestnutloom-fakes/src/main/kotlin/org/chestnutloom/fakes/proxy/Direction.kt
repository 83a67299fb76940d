package org.chestnutloom.fakes.proxy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The direction of bytes through a proxy. */
@Serializable
public enum class Direction {
    /** From the caller, which opened the connection, to the target. */
    @SerialName("to_target")
    TO_TARGET,

    /** From the target to the caller, which opened the connection. */
    @SerialName("to_caller")
    TO_CALLER,
}
