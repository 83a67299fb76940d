package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpResponse

/** A part of an HTTP response. */
public sealed interface ResponsePart {
    /**
     * The status line and headers.
     *
     * @property framing how the end of the response will be recognized
     */
    public class Head(
        public val response: HttpResponse,
        public val framing: ResponseFraming,
    ) : ResponsePart

    /** A chunk of the body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ResponsePart

    /**
     * The response has ended.
     *
     * @property framing how its end was recognized
     */
    public data class End(
        public val framing: ResponseFraming,
    ) : ResponsePart

    /** The connection was closed or sent invalid HTTP before the response was complete. */
    public data class Aborted(
        public val cause: String,
    ) : ResponsePart
}
