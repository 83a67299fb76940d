package org.chestnutloom.edge.http

import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Decodes requests and rejects those with an ambiguous body length, which would allow request smuggling. */
internal class StrictRequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.decoderResult = DecoderResult.failure(AmbiguousLengthException())
    }
}
