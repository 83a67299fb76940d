package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpResponse

/** One piece of the answer to a request. */
public sealed interface ResponsePart {
    /** The status and headers. */
    public class Head(
        public val response: HttpResponse,
    ) : ResponsePart

    /** Some bytes of the body. */
    public class Data(
        public val bytes: ByteArray,
    ) : ResponsePart

    /** The answer is complete. */
    public data object End : ResponsePart

    /** The connection ended, or brought something that is not HTTP, before the answer was complete. */
    public data class Aborted(
        public val cause: String,
    ) : ResponsePart
}
