package org.chestnutloom.fakes.load

/** What a caller got for one request. */
internal sealed interface LoadAnswer {
    /** The request was answered; [text] is the generated text, or the body of a tool's answer. */
    data class Whole(
        val text: String,
    ) : LoadAnswer

    /** The request was refused or failed with a typed error. */
    data class Refused(
        val code: String,
        val execution: String,
        val retryAfterMs: Long?,
    ) : LoadAnswer {
        /** Whether the same request may be sent again. */
        val mayRepeat: Boolean
            get() = (execution == NOT_RUN && code !in FINAL_CODES) || code in WAITING_CODES
    }

    /** The connection failed, or the answer was cut or cannot be read. */
    data class Broken(
        val detail: String,
    ) : LoadAnswer

    companion object {
        private const val NOT_RUN = "not_run"
        private val WAITING_CODES = setOf("turn_in_progress")
        private val FINAL_CODES =
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
