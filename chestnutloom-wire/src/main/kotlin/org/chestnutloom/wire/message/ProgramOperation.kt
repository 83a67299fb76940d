package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** What a caller can do with a program. */
@Serializable
public enum class ProgramOperation {
    /** Open the program. */
    OPEN,

    /** Run a turn, or get the recorded answer of a turn that ran. */
    RUN_TURN,

    /** Read a finished turn. */
    READ_TURN,

    /** Read the program's state and the list of its turns. */
    READ,

    /** Close the program. */
    CLOSE,

    /** Cancel the program and its calls under way. */
    CANCEL,
}
