package org.chestnutloom.fakes.engine

/** How a request to an engine ended. */
internal enum class RunEnd {
    /** Every token was generated. */
    COMPLETE,

    /** The request was cancelled. */
    CANCELLED,
}
