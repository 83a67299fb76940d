package org.chestnutloom.fakes.load

/** The unparsed outcome of one HTTP request. */
internal sealed interface RawResponse {
    /** A complete HTTP response with its [body]. */
    data class Received(
        val body: String,
        val isStream: Boolean,
    ) : RawResponse

    /** The connection failed before the response was complete. */
    data class Failed(
        val detail: String,
    ) : RawResponse
}
