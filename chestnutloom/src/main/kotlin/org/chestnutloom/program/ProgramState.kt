package org.chestnutloom.program

import kotlinx.serialization.Serializable

/** The lifecycle state of a program. */
@Serializable
public enum class ProgramState {
    /** The program accepts turns. */
    OPEN,

    /** The caller closed the program. */
    CLOSED,

    /** The caller cancelled the program, and its in-flight calls are cancelled. */
    CANCELLED,

    /** The program used up its budget. */
    EXHAUSTED,

    /** The program was idle for longer than the environment allows. */
    ABANDONED,
}
