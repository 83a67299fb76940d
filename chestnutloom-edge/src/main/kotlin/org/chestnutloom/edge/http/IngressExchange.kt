package org.chestnutloom.edge.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
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

/**
 * The response to one request on an [IngressConnection].
 *
 * @property allowsChunks whether the caller understands chunks; otherwise a response whose length is not known ends with
 *   its connection, which is reset if the response is not complete
 * @property isHeadRequest whether the request is a `HEAD` request, whose response has the length of a body but no body
 */
internal class IngressExchange(
    private val context: ChannelHandlerContext,
    private val registry: IngressRegistry,
    private val wantsKeepAlive: Boolean,
    private val allowsChunks: Boolean,
    private val isHeadRequest: Boolean,
    private val onEnded: () -> Unit,
) : CallerExchange {
    private var writabilityChange = CompletableDeferred<Unit>()

    /** Whether the caller was told that the connection is closed after this response. */
    var isLastOnConnection: Boolean = false
        private set
    private var hasLength = false

    override var isStarted: Boolean = false
        private set

    override var ending: ResponseEnding = ResponseEnding.NONE
        private set

    private val isEnded: Boolean
        get() = ending != ResponseEnding.NONE

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
        if (!isLengthOfOtherBody(status)) HttpUtil.setContentLength(response, body.size.toLong())
        setConnectionHeader(response)
        end(ResponseEnding.LENGTH, context.writeAndFlush(response))
    }

    override fun start(
        status: Int,
        headers: HttpHeaders,
    ) {
        if (isStarted || isEnded) return
        isStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.headers().add(headers)
        hasLength = HttpUtil.isContentLengthSet(response)
        if (!hasLength && allowsChunks) HttpUtil.setTransferEncodingChunked(response, true)
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
        val ending =
            when {
                hasLength -> ResponseEnding.LENGTH
                allowsChunks -> ResponseEnding.LAST_CHUNK
                else -> ResponseEnding.CONNECTION
            }
        end(ending, context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override fun abort() {
        if (isEnded) return
        ending = ResponseEnding.ABORTED
        // A connection that is closed in order would be the end of a complete response.
        if (isStarted && !allowsChunks) context.channel().config().setOption(ChannelOption.SO_LINGER, 0)
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

    /** Returns whether a length in the headers is that of the body which a `GET` request would get. */
    private fun isLengthOfOtherBody(status: Int): Boolean =
        isHeadRequest || status == HttpResponseStatus.NOT_MODIFIED.code()

    private fun setConnectionHeader(response: HttpResponse) {
        isLastOnConnection = !wantsKeepAlive || registry.isShuttingDown
        if (isLastOnConnection) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(
        ending: ResponseEnding,
        written: ChannelFuture,
    ) {
        this.ending = ending
        if (isLastOnConnection) written.addListener { context.close() }
        onEnded()
    }
}
