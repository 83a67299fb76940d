package org.chestnutloom.edge.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Reads pipelined requests from one caller's connection and responds to them in order. */
internal class IngressConnection(
    private val handler: CallerHandler,
    private val limits: IngressLimits,
    private val bodyMemory: BodyMemory,
    private val registry: IngressRegistry,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private val pending = ArrayDeque<ReceivedRequest>()
    private var head: HttpRequest? = null
    private var reservation = BodyReservation(bodyMemory)
    private var receivedAt: Duration = Duration.ZERO
    private var body = ByteArrayOutputStream()

    /** Whether the first bytes of a request have arrived, but not its complete head. */
    private var isHeadPending = false
    private var isRejecting = false

    /** Whether the last response on this connection was sent, so that requests behind it are not read. */
    private var isClosing = false

    /** The status of a rejection that is sent after the responses to earlier requests. */
    private var pendingRejection: HttpResponseStatus? = null
    private var current: IngressExchange? = null
    private var currentReservation: BodyReservation? = null
    private var currentJob: Job? = null
    private var timeoutJob: Job? = null

    /** Whether no request is in progress. */
    val isIdle: Boolean
        get() = current == null && head == null && pending.isEmpty() && pendingRejection == null

    /** Whether a request is in progress, or its caller has not been sent the whole response yet. */
    val isBusy: Boolean
        get() = !isIdle || hasUnwrittenBytes

    private val hasUnwrittenBytes: Boolean
        get() =
            (
                context
                    .channel()
                    .unsafe()
                    .outboundBuffer()
                    ?.totalPendingWriteBytes() ?: 0
            ) > 0

    /** Closes the connection if no request is in progress. */
    fun closeIfIdle() {
        if (isIdle) context.close()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        registry.add(this)
        startIdleTimeout()
    }

    /** Starts the header timeout when the first bytes of a request arrive, even if they decode to nothing yet. */
    fun onBytesReceived() {
        if (!isIdle || isHeadPending || isRejecting || isClosing) return
        isHeadPending = true
        timeoutJob?.cancel()
        timeoutJob =
            scope.launch {
                delay(limits.current().headerTimeout)
                if (head == null) reject(HttpResponseStatus.REQUEST_TIMEOUT)
            }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        registry.remove(this)
        timeoutJob?.cancel()
        releaseUnhandled()
        current?.writabilityChanged()
        currentJob?.cancel()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        current?.writabilityChanged()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (isRejecting || isClosing) return
        if (message.decoderResult().isFailure) return reject(RequestHeadCheck.statusOf(message.decoderResult().cause()))
        if (message is HttpRequest) readHead(message)
        if (message is HttpContent) readBody(message)
    }

    /** Starts the body timeout again when bytes arrive that do not complete the request. */
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (head != null && !isRejecting) startBodyTimeout()
        ctx.fireChannelReadComplete()
    }

    /** Rejects a request whose body stops arriving, so that it does not keep its memory. */
    private fun startBodyTimeout() {
        timeoutJob?.cancel()
        timeoutJob =
            scope.launch {
                delay(limits.current().idleTimeout)
                reservation.release()
                reject(HttpResponseStatus.REQUEST_TIMEOUT)
            }
    }

    private fun readHead(request: HttpRequest) {
        timeoutJob?.cancel()
        isHeadPending = false
        head = request
        receivedAt = clock.elapsed()
        // A buffer that is used again would keep the size of the largest body.
        body = ByteArrayOutputStream()
        RequestHeadCheck.refusalOf(request, limits.current())?.let { return reject(it) }
        if (!reservation.ensure(HttpUtil.getContentLength(request, 0L))) return rejectForMemory()
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun readBody(content: HttpContent) {
        val request = head ?: return
        val part = content.content()
        if (body.size() + part.readableBytes() > limits.current().maxBodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (!reservation.ensure(body.size().toLong() + part.readableBytes())) return rejectForMemory()
        part.readBytes(body, part.readableBytes())
        if (content is LastHttpContent) enqueue(request)
    }

    private fun enqueue(request: HttpRequest) {
        timeoutJob?.cancel()
        head = null
        request.headers().remove(HttpHeaderNames.EXPECT)
        val received =
            CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers(),
                body.toByteArray(),
                receivedAt,
                allowsChunks = request.protocolVersion() != HttpVersion.HTTP_1_0,
            )
        pending.addLast(ReceivedRequest(received, reservation))
        reservation = BodyReservation(bodyMemory)
        if (current == null) handleNext() else context.channel().config().isAutoRead = pending.size < MAX_PIPELINED
    }

    private fun handleNext() {
        val received = pending.removeFirstOrNull() ?: return handleNone()
        val request = received.request
        currentReservation = received.reservation
        context.channel().config().isAutoRead = true
        val isHead = request.method == HttpMethod.HEAD.name()
        val exchange =
            IngressExchange(context, registry, wantsKeepAlive(request), request.allowsChunks, isHead) {
                onExchangeEnded()
            }
        current = exchange
        currentJob =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    handler.handle(request, exchange)
                } finally {
                    exchange.close()
                }
            }
    }

    private fun handleNone() {
        pendingRejection?.let(::sendRejection) ?: startIdleTimeout()
    }

    private fun wantsKeepAlive(request: CallerRequest): Boolean =
        request.allowsChunks && !request.headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)

    private fun onExchangeEnded() {
        isClosing = current?.isLastOnConnection == true
        current = null
        currentJob = null
        currentReservation?.release()
        currentReservation = null
        if (!context.channel().isActive) return
        if (isClosing) return discardPending()
        if (registry.isShuttingDown && isIdle) closeWhenWritten() else handleNext()
    }

    /** Closes the connection once a caller that reads slowly has been sent all of its response, and reads no request. */
    private fun closeWhenWritten() {
        isClosing = true
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { context.close() }
    }

    /** Drops the requests that the caller sent behind the last one, which it may send again on another connection. */
    private fun discardPending() {
        releaseUnhandled()
        pendingRejection = null
        head = null
        startIdleTimeout()
    }

    /** Drops the requests that are not handled yet, and the one that is being read. */
    private fun releaseUnhandled() {
        pending.forEach { it.reservation.release() }
        pending.clear()
        reservation.release()
    }

    private fun startIdleTimeout() {
        timeoutJob?.cancel()
        timeoutJob =
            scope.launch {
                delay(limits.current().idleTimeout)
                closeIfIdle()
            }
    }

    /** Rejects a request and closes the connection, because the end of the invalid request is unknown. */
    private fun reject(status: HttpResponseStatus) {
        isRejecting = true
        logger.event("request_rejected", "status" to status.code(), "method" to (head?.method()?.name() ?: "none"))
        // Requests pipelined before the invalid one get their responses first.
        if (current == null && pending.isEmpty()) sendRejection(status) else pendingRejection = status
    }

    /** Rejects a request whose body does not fit into memory, before more of it is read. */
    private fun rejectForMemory() {
        reservation.release()
        body = ByteArrayOutputStream()
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    private fun sendRejection(status: HttpResponseStatus) {
        context.writeAndFlush(rejectionOf(status)).addListener { closeAfterDelay() }
    }

    /** Closes after a delay: closing a socket with unread data sends RST, and the caller could lose the response. */
    private fun closeAfterDelay() {
        scope.launch {
            delay(CLOSE_DELAY)
            context.close()
        }
    }

    private companion object {
        private const val MAX_PIPELINED = 2

        private val CLOSE_DELAY = 500.milliseconds
    }
}
