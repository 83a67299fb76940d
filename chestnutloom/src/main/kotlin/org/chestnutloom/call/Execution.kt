package org.chestnutloom.call

import kotlinx.serialization.Serializable

/** Whether a call was executed. */
@Serializable
public enum class Execution {
    /** The call did not reach its target and never will. */
    NOT_RUN,

    /** The call reached its target. */
    RAN,

    /** The call may or may not have reached its target. */
    UNKNOWN,
}
