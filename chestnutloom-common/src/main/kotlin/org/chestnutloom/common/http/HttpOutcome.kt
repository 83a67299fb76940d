package org.chestnutloom.common.http

/** The outcome of one HTTP request. */
internal sealed interface HttpOutcome {
    /** The connection failed, so the request was certainly not sent. */
    data class NotSent(
        val detail: String,
    ) : HttpOutcome

    /** The request may have been sent, but no complete response arrived. */
    data class NoResponse(
        val detail: String,
    ) : HttpOutcome

    /** A complete response arrived, with any status. */
    class Response(
        val status: Int,
        val body: ByteArray,
    ) : HttpOutcome
}
