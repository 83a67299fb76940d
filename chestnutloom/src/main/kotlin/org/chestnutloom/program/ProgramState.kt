package org.chestnutloom.program

import kotlinx.serialization.Serializable

/** Where a program stands in its life. */
@Serializable
public enum class ProgramState {
    /** The program takes turns. */
    OPEN,

    /** The caller closed the program. */
    CLOSED,

    /** The caller cancelled the program, and its calls under way are stopped. */
    CANCELLED,

    /** The program used up its budget. */
    EXHAUSTED,

    /** Nobody used the program for longer than the environment allows. */
    ABANDONED,
}
