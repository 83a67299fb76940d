package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpResponse

/** One piece of the answer to a request. */
public sealed interface AnswerPart {
    /** The status and headers. */
    public class Head(
        public val response: HttpResponse,
    ) : AnswerPart

    /** Some bytes of the body. */
    public class Data(
        public val bytes: ByteArray,
    ) : AnswerPart

    /** The answer is complete. */
    public data object End : AnswerPart

    /** The connection ended, or brought something that is not HTTP, before the answer was complete. */
    public data class Broken(
        public val cause: String,
    ) : AnswerPart
}
