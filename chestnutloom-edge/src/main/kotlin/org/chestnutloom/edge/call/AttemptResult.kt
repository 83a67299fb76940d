package org.chestnutloom.edge.call

/** The result of sending a call to one target. */
internal sealed interface AttemptResult {
    /** The target's response was relayed to the caller, completely or in part. */
    data class Responded(
        val status: Int,
        val isComplete: Boolean,
    ) : AttemptResult

    /** The target did not run the call and never will. */
    data class NotRun(
        val cause: String,
    ) : AttemptResult

    /** The target may have run the call, and nothing was sent to the caller yet. */
    data class Lost(
        val cause: String,
    ) : AttemptResult

    /** The deadline passed before the target responded. */
    data object TimedOut : AttemptResult
}
