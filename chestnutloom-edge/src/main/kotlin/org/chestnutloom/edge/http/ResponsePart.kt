package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration

/** A part of an HTTP response. */
public sealed interface ResponsePart {
    /** The status line and headers. */
    public class Head(
        public val response: HttpResponse,
    ) : ResponsePart

    /** A chunk of the body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ResponsePart

    /**
     * The response has ended.
     *
     * @property framing how its end was recognized
     * @property lastBytesAt when its last bytes arrived, or reading was resumed after them, on the monotonic clock
     */
    public data class End(
        public val framing: ResponseFraming,
        public val lastBytesAt: Duration,
    ) : ResponsePart

    /** The connection was closed or sent invalid HTTP before the response was complete. */
    public data class Aborted(
        public val cause: String,
    ) : ResponsePart
}
