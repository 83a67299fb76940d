package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * A request that was read as a whole from a caller.
 *
 * @property target path and query as the caller sent them
 * @property receivedAt when the request's head arrived, on the monotonic clock
 */
public class CallerRequest(
    public val method: String,
    public val target: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
    public val receivedAt: Duration,
) {
    /** The path without the query. */
    public val path: String
        get() = target.substringBefore('?')

    /** The host that the caller named, without a port. */
    public val host: String
        get() =
            headers
                .get("Host")
                .orEmpty()
                .substringBefore(':')
                .lowercase()
}
