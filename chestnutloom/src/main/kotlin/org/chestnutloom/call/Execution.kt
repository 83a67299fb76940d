package org.chestnutloom.call

import kotlinx.serialization.Serializable

/** Whether a call ran, as far as is known for certain. */
@Serializable
public enum class Execution {
    /** The call did not reach its target and never will. */
    NOT_RUN,

    /** The call reached its target. */
    RAN,

    /** The call may have reached its target. */
    UNKNOWN,
}
