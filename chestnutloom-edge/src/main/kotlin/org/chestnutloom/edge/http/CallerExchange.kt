package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpHeaders

/** Where the answer to one caller's request is written; used on the event loop only. */
public interface CallerExchange {
    /** Whether the answer's head has been sent. */
    public val isStarted: Boolean

    /** Sends a whole answer. */
    public fun answer(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Sends the head of an answer whose body follows in pieces. */
    public fun start(
        status: Int,
        headers: HttpHeaders,
    )

    /** Sends a piece of the body. */
    public fun send(bytes: ByteArray)

    /** Whether the caller has taken enough of what was sent. */
    public val isWritable: Boolean

    /** Waits until the caller has taken enough of what was sent. */
    public suspend fun awaitWritable()

    /** Ends an answer that was started. */
    public fun finish()

    /** Closes the connection, so that an answer that was started does not look complete. */
    public fun abort()
}
