package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * A request from a caller, read completely.
 *
 * @property target the request target: path and query as received
 * @property receivedAt monotonic time at which the request head was received
 * @property allowsChunks whether the caller understands a response in chunks, which HTTP/1.0 does not have
 */
public class CallerRequest(
    public val method: String,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
    public val receivedAt: Duration,
    public val allowsChunks: Boolean = true,
) {
    /** The path without the query. */
    public val path: String
        get() = target.substringBefore('?')

    /** The `Host` header in lower case, without the port. */
    public val host: String
        get() =
            headers
                .get("Host")
                .orEmpty()
                .substringBefore(':')
                .lowercase()
}
