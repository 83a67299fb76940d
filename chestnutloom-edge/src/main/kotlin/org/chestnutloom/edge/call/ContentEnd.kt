package org.chestnutloom.edge.call

/** How the content of a response body ends, whatever its framing says. */
internal enum class ContentEnd {
    /** The content is not an event stream, so that nothing in it shows where it ends. */
    OPAQUE,

    /** An event stream in which no event has ended or begun. */
    NO_EVENT,

    /** An event stream that ends behind an event. */
    BETWEEN_EVENTS,

    /** An event stream that ends inside an event, so that more of it must follow. */
    INSIDE_EVENT,
}
