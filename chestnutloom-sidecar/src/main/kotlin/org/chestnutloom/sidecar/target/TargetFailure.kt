package org.chestnutloom.sidecar.target

/** Reason for the lack of a complete response from the target. */
internal sealed interface TargetFailure {
    /** No byte of the request was sent. */
    data class NotSent(
        val detail: String,
    ) : TargetFailure

    /** The call cannot be encoded as an HTTP request, and nothing was sent. */
    data class InvalidRequest(
        val detail: String,
    ) : TargetFailure

    /** The connection failed after bytes of the request may have been sent. */
    data class Lost(
        val detail: String,
    ) : TargetFailure

    /** No data arrived within the timeout, so the connection may have failed undetected. */
    data object Unresponsive : TargetFailure

    /** The target does not know the request to resume. */
    data object UnknownRequest : TargetFailure

    /** The response exceeds the maximum size. */
    data object ResponseTooLarge : TargetFailure
}
