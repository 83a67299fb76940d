package org.chestnutloom.edge.http

/** How a [ScriptedMessage] shows where its body ends. */
internal enum class MessageFraming {
    LENGTH,
    CHUNKS,
    CLOSE,

    /** It has no body, as its status says. */
    STATUS,

    /** It has no body, as its request has the method HEAD, but the length of one. */
    HEAD,
    ;

    /** Whether a client knows where the body ends before the connection is closed. */
    val isDelimited: Boolean
        get() = this != CLOSE
}
