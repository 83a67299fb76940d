package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** An operation of the HTTP API on a program. */
@Serializable
public enum class ProgramOperation {
    /** Open the program. */
    OPEN,

    /** Run a turn, or return the recorded response of a turn that already ran. */
    RUN_TURN,

    /** Read a completed turn. */
    READ_TURN,

    /** Read the program's state and the list of its turns. */
    READ,

    /** Close the program. */
    CLOSE,

    /** Cancel the program and its calls in flight. */
    CANCEL,
}
