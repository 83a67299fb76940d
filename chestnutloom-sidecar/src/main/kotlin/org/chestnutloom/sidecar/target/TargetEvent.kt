package org.chestnutloom.sidecar.target

/** One event of a target's response. */
internal sealed interface TargetEvent {
    /** The payload of one server-sent event. */
    data class Chunk(
        val data: String,
    ) : TargetEvent

    /** The streamed response is complete. */
    data object StreamEnd : TargetEvent

    /** A complete plain response. */
    data class Response(
        val status: Int,
        val contentType: String,
        val body: String,
    ) : TargetEvent

    /** The response failed, and this connection will not deliver the rest of it. */
    data class Failed(
        val failure: TargetFailure,
    ) : TargetEvent
}
