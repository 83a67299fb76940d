package org.chestnutloom.edge.call

import org.chestnutloom.edge.turn.EventStreamParser

/**
 * The content of a response body as far as it was read.
 *
 * @property events reads the events of the body, or null if they are of no interest
 * @property isEventStream whether the body is an event stream, so that its events show how it ends
 */
internal class BodyContent(
    val events: EventStreamParser?,
    val isEventStream: Boolean,
) {
    /** How the content ends after the bytes that were read. */
    val end: ContentEnd
        get() =
            when {
                events == null || !isEventStream -> ContentEnd.OPAQUE
                events.isInsideEvent -> ContentEnd.INSIDE_EVENT
                events.eventCount == 0 -> ContentEnd.NO_EVENT
                else -> ContentEnd.BETWEEN_EVENTS
            }

    /** Whether the body exceeds what can be read. */
    val isTooLarge: Boolean
        get() = events?.isTooLarge == true

    /** Reads the next [bytes] of the body. */
    fun read(bytes: ByteArray) {
        events?.read(bytes)
    }
}

/** Returns the content of a response to a call that is not for a stream: an event stream only if the target states it. */
internal fun plainContent(head: ResponseHead): BodyContent {
    val isEventStream = head.isEventStream == true
    return BodyContent(if (isEventStream) EventStreamParser(collectsData = false) else null, isEventStream)
}
