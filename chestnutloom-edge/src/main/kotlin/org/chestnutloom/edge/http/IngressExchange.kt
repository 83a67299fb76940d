package org.chestnutloom.edge.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred

/** The response to one request on an [IngressConnection]. */
internal class IngressExchange(
    private val context: ChannelHandlerContext,
    private val registry: IngressRegistry,
    private val wantsKeepAlive: Boolean,
    private val onEnded: () -> Unit,
) : CallerExchange {
    private var writabilityChange = CompletableDeferred<Unit>()
    private var isEnded = false

    /** Whether the caller was told that the connection is closed after this response. */
    var isLastOnConnection: Boolean = false
        private set

    override var isStarted: Boolean = false
        private set

    override fun respond(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        if (isStarted || isEnded) return
        isStarted = true
        val content = Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().add(headers)
        HttpUtil.setContentLength(response, body.size.toLong())
        setConnectionHeader(response)
        end(context.writeAndFlush(response))
    }

    override fun start(
        status: Int,
        headers: HttpHeaders,
    ) {
        if (isStarted || isEnded) return
        isStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        if (!HttpUtil.isContentLengthSet(response)) HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response)
        context.writeAndFlush(response)
    }

    override fun send(bytes: ByteArray) {
        if (isEnded) return
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override val isWritable: Boolean
        get() = isEnded || !context.channel().isActive || context.channel().isWritable

    override suspend fun awaitWritable() {
        while (!isWritable) {
            writabilityChange = CompletableDeferred()
            writabilityChange.await()
        }
    }

    override fun finish() {
        if (isEnded) return
        end(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override fun abort() {
        if (isEnded) return
        isEnded = true
        context.close()
        onEnded()
    }

    /** Aborts the exchange if its handler returned without completing the response. */
    fun close() {
        if (!isEnded) abort()
    }

    /** Resumes a coroutine that waits in [awaitWritable], since the channel became writable or inactive. */
    fun writabilityChanged() {
        writabilityChange.complete(Unit)
    }

    private fun setConnectionHeader(response: HttpResponse) {
        isLastOnConnection = !wantsKeepAlive || registry.isShuttingDown
        if (isLastOnConnection) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(written: ChannelFuture) {
        isEnded = true
        if (isLastOnConnection) written.addListener { context.close() }
        onEnded()
    }
}
