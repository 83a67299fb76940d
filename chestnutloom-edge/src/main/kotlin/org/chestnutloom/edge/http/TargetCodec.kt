package org.chestnutloom.edge.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponseDecoder

/** Encodes requests to a target, one at a time, and decodes their responses; a response to HEAD has no body. */
internal class TargetCodec(
    maxLineBytes: Int,
    maxHeaderBytes: Int,
    maxChunkBytes: Int,
) : CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder>() {
    private var method: HttpMethod? = null

    init {
        init(ResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes), ByteExactRequestEncoder())
    }

    override fun write(
        ctx: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is HttpRequest) method = message.method()
        super.write(ctx, message, promise)
    }

    private inner class ResponseDecoder(
        maxLineBytes: Int,
        maxHeaderBytes: Int,
        maxChunkBytes: Int,
    ) : HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
        override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
            method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }
}
