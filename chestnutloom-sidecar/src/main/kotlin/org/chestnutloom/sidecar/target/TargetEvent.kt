package org.chestnutloom.sidecar.target

/** One step of a target's answer. */
internal sealed interface TargetEvent {
    /** The payload of one server-sent event. */
    data class Chunk(
        val data: String,
    ) : TargetEvent

    /** The streamed answer is whole. */
    data object StreamEnd : TargetEvent

    /** A plain answer, whole. */
    data class Answer(
        val status: Int,
        val contentType: String,
        val body: String,
    ) : TargetEvent

    /** There will be no whole answer on this connection. */
    data class Failed(
        val failure: TargetFailure,
    ) : TargetEvent
}
