package org.chestnutloom.edge.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent

/**
 * Writes one request to [channel]; confined to its event loop.
 *
 * A long body is written slice by slice, each once the one before has been sent, so that only one is in a buffer for the
 * network at a time.
 *
 * @property onSent called once, with whether the whole request was sent
 */
internal class RequestWriter(
    private val channel: Channel,
    private val onSent: (Boolean) -> Unit,
) {
    /** Writes the head [request] and then [body], whose length the head states. */
    fun write(
        request: HttpRequest,
        body: RequestBody,
    ) {
        if (body.size <= SLICE_BYTES) return writeWhole(request, body)
        channel.write(request)
        writeNext(body.slices(SLICE_BYTES).iterator())
    }

    private fun writeWhole(
        request: HttpRequest,
        body: RequestBody,
    ) {
        val content = Unpooled.wrappedBuffer(body.joined())
        val headers = request.headers()
        val whole =
            DefaultFullHttpRequest(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                content,
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        channel.writeAndFlush(whole).onEnd(onSent)
    }

    private fun writeNext(slices: Iterator<BodySlice>) {
        if (!slices.hasNext()) return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).onEnd(onSent)
        val slice = slices.next()
        val content = Unpooled.wrappedBuffer(slice.bytes, slice.offset, slice.length)
        channel.writeAndFlush(DefaultHttpContent(content)).onEnd { isSent ->
            if (isSent) writeNext(slices) else onSent(false)
        }
    }

    private fun ChannelFuture.onEnd(block: (Boolean) -> Unit) {
        addListener { block(it.isSuccess) }
    }

    private companion object {
        const val SLICE_BYTES = 64 * 1024
    }
}
