package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to a caller's request; confined to the event loop. */
public interface CallerExchange {
    /** Whether the response head has been sent. */
    public val isStarted: Boolean

    /** How the response has ended. */
    public val ending: ResponseEnding

    /** Sends a complete response. */
    public fun respond(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Sends the head of a response whose body follows in chunks. */
    public fun start(
        status: Int,
        headers: HttpHeaders,
    )

    /** Sends a chunk of the body. */
    public fun send(bytes: ByteArray)

    /** Whether the send buffer has room for more data. */
    public val isWritable: Boolean

    /** Suspends until the send buffer has room or the connection is closed. */
    public suspend fun awaitWritable()

    /** Ends a response that was started. */
    public fun finish()

    /** Closes the connection so that a partial response is not taken for a complete one. */
    public fun abort()
}
