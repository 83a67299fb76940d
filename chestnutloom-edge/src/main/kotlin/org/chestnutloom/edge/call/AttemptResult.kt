package org.chestnutloom.edge.call

import org.chestnutloom.edge.turn.TurnRecord

/** The result of sending a call to one target. */
internal sealed interface AttemptResult {
    /**
     * The target's response was relayed to the caller, completely or in part.
     *
     * @property isTargetFailure whether the response is incomplete because the target or its connection failed
     * @property turn the turn that must be durable before the response to the caller ends, or null if it has ended
     * @property eventCount the number of events of a stream that was relayed
     */
    class Responded(
        val status: Int,
        val isComplete: Boolean,
        val turn: TurnRecord? = null,
        val isTargetFailure: Boolean = false,
        val eventCount: Int = 0,
    ) : AttemptResult

    /**
     * The target did not run the call and never will.
     *
     * @property status the status of the target's response, or null if no connection to it could be opened
     */
    data class NotRun(
        val cause: String,
        val status: Int? = null,
    ) : AttemptResult

    /** The target may have run the call, and nothing was sent to the caller yet. */
    data class Lost(
        val cause: String,
    ) : AttemptResult

    /** The deadline passed before the target responded. */
    data object TimedOut : AttemptResult
}
