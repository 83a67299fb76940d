package org.chestnutloom.fakes.engine

/** The outcome of a request to an engine. */
internal enum class RunOutcome {
    /** All tokens were generated. */
    COMPLETE,

    /** The request was cancelled. */
    CANCELLED,
}
