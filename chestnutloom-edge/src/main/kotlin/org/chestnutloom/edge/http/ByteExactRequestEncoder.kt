package org.chestnutloom.edge.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder

/**
 * Encodes requests so that their path and query have the bytes that the caller sent.
 *
 * The decoder turns each byte of a request's head into one character; this encoder does the reverse, while the one that
 * it extends writes UTF-8.
 */
internal class ByteExactRequestEncoder : HttpRequestEncoder() {
    override fun encodeInitialLine(
        buffer: ByteBuf,
        request: HttpRequest,
    ) {
        val line = "${request.method()} ${request.uri()} ${request.protocolVersion()}\r\n"
        buffer.writeCharSequence(line, Charsets.ISO_8859_1)
    }
}
