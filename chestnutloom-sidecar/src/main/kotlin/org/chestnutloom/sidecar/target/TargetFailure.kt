package org.chestnutloom.sidecar.target

/** Why a target gave no whole answer. */
internal sealed interface TargetFailure {
    /** No byte of the request left for the target. */
    data class NotSent(
        val detail: String,
    ) : TargetFailure

    /** The request cannot be put into HTTP, and nothing was sent. */
    data class Unsendable(
        val detail: String,
    ) : TargetFailure

    /** The connection failed after bytes of the request may have left. */
    data class Lost(
        val detail: String,
    ) : TargetFailure

    /** Nothing came for so long that the connection may have died unnoticed. */
    data object Silent : TargetFailure

    /** The target does not know the request that was to be resumed. */
    data object UnknownRequest : TargetFailure

    /** The answer is larger than a sidecar carries. */
    data object AnswerTooLarge : TargetFailure
}
