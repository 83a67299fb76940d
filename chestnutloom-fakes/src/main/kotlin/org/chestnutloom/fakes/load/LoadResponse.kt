package org.chestnutloom.fakes.load

/** The outcome of one request, as its caller sees it. */
internal sealed interface LoadResponse {
    /** The response is complete; [text] is the generated text, or the response body of a tool. */
    data class Complete(
        val text: String,
    ) : LoadResponse

    /** The gateway responded with an error. */
    data class Refused(
        val code: String,
        val execution: String,
        val retryAfterMs: Long?,
    ) : LoadResponse {
        /** Whether the same request can be sent again. */
        val isRetryable: Boolean
            get() = (execution == NOT_RUN && code !in NON_RETRYABLE_CODES) || code in RETRYABLE_CODES
    }

    /** The connection failed, or the response is truncated or malformed. */
    data class Failed(
        val detail: String,
    ) : LoadResponse

    companion object {
        private const val NOT_RUN = "not_run"
        private val RETRYABLE_CODES = setOf("turn_in_progress")
        private val NON_RETRYABLE_CODES =
            setOf(
                "bad_request",
                "body_too_large",
                "unauthorized",
                "not_found",
                "unknown_model",
                "unknown_service",
                "turn_mismatch",
                "program_ended",
                "budget_exhausted",
                "quarantined",
                "cancelled",
            )
    }
}
