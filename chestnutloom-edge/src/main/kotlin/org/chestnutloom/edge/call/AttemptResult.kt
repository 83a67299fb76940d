package org.chestnutloom.edge.call

/** How sending a call to one target ended. */
internal sealed interface AttemptResult {
    /** The caller got the target's answer, or its beginning. */
    data class Answered(
        val status: Int,
        val isWhole: Boolean,
    ) : AttemptResult

    /** The target did not run the call and never will. */
    data class NotRun(
        val cause: String,
    ) : AttemptResult

    /** The target may have run the call, and the caller has got nothing yet. */
    data class Lost(
        val cause: String,
    ) : AttemptResult

    /** The deadline passed before the target answered. */
    data object TimedOut : AttemptResult
}
