package org.chestnutloom.edge.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/**
 * One connection to a server, with at most one exchange at a time; used on the event loop only.
 *
 * Bytes that arrive while no exchange is open close the connection, so that they are never taken for an answer.
 */
public class HttpConnection internal constructor(
    private val clock: Clock,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var context: ChannelHandlerContext? = null
    private var exchange: Exchange? = null
    private var failure: String? = null
    private var isFit = true
    private var isRequestSent = false

    /** When the last exchange ended, on the monotonic clock. */
    internal var idleSince: Duration = clock.elapsed()
        private set

    /** Exchanges that ended on this connection. */
    internal var exchangesEnded: Int = 0
        private set

    /** How long the server keeps the connection open between exchanges, or null when it did not say. */
    internal var keepAlive: Duration? = null
        private set

    /** Whether another request can be sent. */
    public val isReusable: Boolean
        get() = isFit && isRequestSent && exchange == null && context?.channel()?.isActive == true

    /**
     * Sends [request] and returns the parts of its answer; the last one is an end or a break.
     *
     * @param isOwn whether a response belongs to this request; others are skipped
     */
    public fun exchange(
        request: FullHttpRequest,
        isOwn: (HttpResponse) -> Boolean,
    ): ReceiveChannel<ResponsePart> {
        val opened = Exchange(isOwn)
        exchange = opened
        isRequestSent = false
        val channel = context?.channel()
        if (channel == null || !channel.isActive) {
            request.release()
            fail("the connection was closed")
            return opened.parts
        }
        channel.writeAndFlush(request).addListener { sent ->
            if (sent.isSuccess) isRequestSent = true else abandon("the request could not be sent")
        }
        return opened.parts
    }

    /** Stops or resumes reading from the server. */
    internal fun setReading(isWanted: Boolean) {
        context?.channel()?.config()?.isAutoRead = isWanted
    }

    /** Closes the connection at once. */
    internal fun close() {
        isFit = false
        context?.close()
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        val open = exchange
        when {
            open == null -> close()
            message.decoderResult().isFailure -> abandon("the server sent something that is not HTTP")
            else -> read(open, message)
        }
    }

    private fun read(
        open: Exchange,
        message: HttpObject,
    ) {
        if (message is HttpResponse) readHead(open, message)
        if (message !is HttpContent) return
        if (!open.isSkipping && message.content().isReadable) {
            open.parts.trySend(ResponsePart.Data(ByteBufUtil.getBytes(message.content())))
        }
        if (message is LastHttpContent) readEnd(open)
    }

    private fun readHead(
        open: Exchange,
        response: HttpResponse,
    ) {
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        open.isSkipping = isInterim || !open.isOwn(response)
        if (isInterim) return
        if (open.isSkipping || !HttpUtil.isKeepAlive(response)) isFit = false
        if (open.isSkipping) return
        if (!HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) isFit = false
        keepAlive = keepAliveOf(response)
        open.parts.trySend(ResponsePart.Head(response))
    }

    private fun readEnd(open: Exchange) {
        if (open.isSkipping) return
        if (failure != null) return
        exchange = null
        idleSince = clock.elapsed()
        exchangesEnded++
        open.parts.trySend(ResponsePart.End)
        open.parts.close()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        abandon(cause.message ?: cause.javaClass.simpleName)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail("the server closed the connection")
    }

    private fun abandon(cause: String) {
        fail(cause)
        close()
    }

    private fun fail(cause: String) {
        isFit = false
        if (failure == null) failure = cause
        val open = exchange ?: return
        exchange = null
        open.parts.trySend(ResponsePart.Aborted(cause))
        open.parts.close()
    }

    private class Exchange(
        val isOwn: (HttpResponse) -> Boolean,
    ) {
        val parts = Channel<ResponsePart>(Channel.UNLIMITED)
        var isSkipping = false
    }
}
