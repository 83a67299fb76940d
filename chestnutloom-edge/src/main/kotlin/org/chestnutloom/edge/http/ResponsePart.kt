package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpResponse

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
     * @property isDelimited whether its length or its last chunk shows that it is complete; otherwise it ended when the
     *   server closed the connection, as a server that was killed does as well
     */
    public data class End(
        public val isDelimited: Boolean,
    ) : ResponsePart

    /** The connection was closed or sent invalid HTTP before the response was complete. */
    public data class Aborted(
        public val cause: String,
    ) : ResponsePart
}
