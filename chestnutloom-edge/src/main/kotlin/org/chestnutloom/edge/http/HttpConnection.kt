package org.chestnutloom.edge.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.time.Clock
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * A client connection with at most one exchange at a time; confined to the event loop.
 *
 * Bytes received while no exchange is active, or together with the end of a response, close the connection, whether or
 * not they are a message, so that they cannot be taken for a part of a later response.
 */
public class HttpConnection internal constructor(
    private val clock: Clock,
    private val decoder: ResponseDecoder,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var context: ChannelHandlerContext? = null
    private var exchange: Exchange? = null
    private var failure: String? = null

    /** The framing of the last response that ended, or null if none has. */
    private var lastFraming: ResponseFraming? = null

    /** Whether nothing has ruled out another request, such as a failure or a response that closes the connection. */
    private var isUsable = true

    /** Whether no request is being sent. */
    private var isRequestSent = true

    /** Monotonic time at which the connection was open at the latest. */
    internal var openedAt: Duration = clock.elapsed()
        private set

    /** Monotonic time at which the last exchange completed. */
    internal var idleSince: Duration = clock.elapsed()
        private set

    /** The number of exchanges completed on this connection. */
    internal var completedExchanges: Int = 0
        private set

    /** Whether the server has sent the head of a response, other than an interim one, to any request. */
    internal var hasResponded: Boolean = false
        private set

    /** The idle timeout in the server's `Keep-Alive` header, or null without one. */
    internal var keepAliveTimeout: Duration? = null
        private set

    /** Whether another request can be sent on this connection. */
    public val isReusable: Boolean
        get() = isUsable && isRequestSent && exchange == null && context?.channel()?.isActive == true

    /**
     * Sends [request] with [body], whose length the request states, and returns its response parts; the last one is
     * [ResponsePart.End] or [ResponsePart.Aborted].
     *
     * @param matches returns whether a response belongs to this request; other responses are skipped
     */
    public fun exchange(
        request: HttpRequest,
        body: RequestBody,
        matches: (HttpResponse) -> Boolean,
    ): ReceiveChannel<ResponsePart> {
        val started = Exchange(matches)
        exchange = started
        decoder.isHeadRequest = request.method() == HttpMethod.HEAD
        isRequestSent = false
        val channel = context?.channel()
        if (channel == null || !channel.isActive) {
            fail("connection is closed")
            return started.parts
        }
        val writer =
            RequestWriter(channel) { isSent ->
                if (isSent) isRequestSent = true else failAndClose("request could not be written")
            }
        writer.write(request, body)
        return started.parts
    }

    /** Sends [request], which has no body, behind the one in progress; its response is not read. */
    internal fun pipeline(request: HttpRequest) {
        isUsable = false
        val channel = context?.channel() ?: return
        RequestWriter(channel) { isSent -> if (!isSent) failAndClose("request could not be written") }
            .write(request, RequestBody(emptyList()))
    }

    /** Whether the server has reset the connection, also behind the end of a response that ends with it. */
    internal val isReset: Boolean
        get() = (context?.channel() as? ResetAwareSocketChannel)?.isReset == true

    /** Lets the exchange in progress end, and no other one begin. */
    internal fun forbidReuse() {
        isUsable = false
    }

    /** Pauses or resumes reading from the server, for backpressure. */
    internal fun setReading(isEnabled: Boolean) {
        context?.channel()?.config()?.isAutoRead = isEnabled
    }

    /**
     * Records that the server sent [bytes], and returns whether they may be decoded. Fails the exchange when too many
     * have arrived without the head of its response, and closes the connection when no exchange is active.
     */
    internal fun acceptsBytes(bytes: Int): Boolean {
        val active = exchange ?: return false.also { closeAfterExtraBytes(bytes) }
        if (active.hasHead) return true
        active.bytesBeforeHead += bytes
        if (active.bytesBeforeHead <= MAX_BYTES_BEFORE_HEAD) return true
        failAndClose("server sent ${active.bytesBeforeHead} bytes without the head of the response")
        return false
    }

    /** Closes the connection immediately, which fails an exchange in progress. */
    internal fun close() {
        fail("connection was closed by the gateway")
        context?.close()
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        openedAt = clock.elapsed()
        ctx.fireChannelActive()
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        val active = exchange
        when {
            active == null -> close()
            message.decoderResult().isFailure -> failInvalid(message.decoderResult().cause())
            else -> read(active, message)
        }
    }

    private fun failInvalid(cause: Throwable) {
        failAndClose("server sent invalid HTTP: ${cause.message}")
    }

    private fun read(
        active: Exchange,
        message: HttpObject,
    ) {
        if (message is HttpResponse) readHead(active, message)
        if (message !is HttpContent) return
        if (!active.isSkipping && message.content().isReadable) {
            active.parts.trySend(ResponsePart.Data(ByteBufUtil.getBytes(message.content())))
        }
        if (message is LastHttpContent) readEnd(active)
    }

    private fun readHead(
        active: Exchange,
        response: HttpResponse,
    ) {
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        active.isSkipping = isInterim || !active.matches(response)
        if (isInterim) return
        hasResponded = true
        active.framing = framingOf(response)
        if (active.isSkipping || !HttpUtil.isKeepAlive(response)) isUsable = false
        if (active.isSkipping) {
            // The body of a response to another request is not decoded while one to HEAD is expected.
            val isEndKnown = active.isDelimited && !decoder.isHeadRequest
            if (!isEndKnown) failAndClose("server sent a response to another request whose end is unknown")
            return
        }
        if (!active.isDelimited) isUsable = false
        keepAliveTimeout = keepAliveTimeoutOf(response)
        active.hasHead = true
        active.parts.trySend(ResponsePart.Head(response, active.framing))
    }

    private fun framingOf(response: HttpResponse): ResponseFraming =
        when {
            decoder.hasNoBody(response) -> ResponseFraming.NO_BODY
            HttpUtil.isTransferEncodingChunked(response) -> ResponseFraming.CHUNKS
            HttpUtil.isContentLengthSet(response) -> ResponseFraming.LENGTH
            else -> ResponseFraming.CONNECTION
        }

    private fun readEnd(active: Exchange) {
        if (active.isSkipping) return
        if (failure != null) return
        // A server that closes a connection with bytes unread resets it, even if the end of its own bytes arrives first.
        if (!active.isDelimited && !isRequestSent) return failAndClose("connection ended before the request was sent")
        exchange = null
        lastFraming = active.framing
        idleSince = clock.elapsed()
        completedExchanges++
        active.parts.trySend(ResponsePart.End(active.framing))
        active.parts.close()
        if (decoder.unreadBytes > 0) closeAfterExtraBytes(decoder.unreadBytes)
    }

    private fun closeAfterExtraBytes(bytes: Int) {
        if (isUsable) logger.warnEvent("extra_bytes", "peer" to context?.channel()?.remoteAddress(), "bytes" to bytes)
        close()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        failAndClose(cause.message ?: cause.javaClass.simpleName)
    }

    /** The connection stays open behind a response that ends with it, until the exchange is released. */
    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event !is ChannelInputShutdownEvent) return super.userEventTriggered(ctx, event)
        val hasEndedResponse = exchange == null && lastFraming == ResponseFraming.CONNECTION && failure == null
        if (!hasEndedResponse) failAndClose("server closed the connection")
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail("server closed the connection")
    }

    private fun failAndClose(cause: String) {
        fail(cause)
        close()
    }

    private fun fail(cause: String) {
        isUsable = false
        if (failure == null) failure = cause
        val active = exchange ?: return
        exchange = null
        active.parts.trySend(ResponsePart.Aborted(cause))
        active.parts.close()
    }

    private class Exchange(
        val matches: (HttpResponse) -> Boolean,
    ) {
        val parts = Channel<ResponsePart>(Channel.UNLIMITED)
        var isSkipping = false

        /** Whether the head of the response to this request has arrived. */
        var hasHead = false

        /** How the end of the response is recognized, according to its head. */
        var framing = ResponseFraming.CONNECTION
        var bytesBeforeHead = 0

        /** Whether the end of the response can be told from the bytes of the response itself. */
        val isDelimited: Boolean
            get() = framing != ResponseFraming.CONNECTION
    }

    private companion object {
        /** Enough for a late response to an earlier request, which is skipped. */
        const val MAX_BYTES_BEFORE_HEAD = 1024 * 1024
    }
}
