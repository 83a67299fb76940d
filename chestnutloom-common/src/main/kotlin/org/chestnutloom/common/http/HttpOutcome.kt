package org.chestnutloom.common.http

/** What became of one HTTP request. */
internal sealed interface HttpOutcome {
    /** No connection could be made, so the request was not sent. */
    data class NotSent(
        val detail: String,
    ) : HttpOutcome

    /** The request may have been sent, and no whole answer came. */
    data class NoAnswer(
        val detail: String,
    ) : HttpOutcome

    /** The whole answer came. */
    class Answer(
        val status: Int,
        val body: ByteArray,
    ) : HttpOutcome
}
