package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.chestnutloom.wire.message.LinkRequest
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** The server side of one connection: runs a handler for each stream. */
internal class ServerConnection(
    private val connection: Connection,
    private val handler: LinkHandler,
    private val options: LinkOptions,
    private val scope: CoroutineScope,
) : ConnectionEvents {
    private val streams = ConcurrentHashMap<Long, ServerStream>()
    private var lastStreamId = -1L

    /** Whether a request that ends by itself still has replies to be sent. */
    val hasPendingReplies: Boolean
        get() = streams.values.any { !it.isEndless } || (connection.isOpen && !connection.isFlushed)

    /** Ends sending after everything that was queued has been handed to the operating system. */
    suspend fun finishWriting() {
        connection.finishWriting()
    }

    suspend fun run() {
        connection.run(this)
    }

    override fun onHeartbeat(heartbeat: Heartbeat) {
        handler.onHeartbeat(connection.peer, heartbeat)
    }

    override fun onFrame(received: SizedFrame): Either<MalformedFrame, Unit> =
        when (val frame = received.frame) {
            is Frame.Open -> open(frame)
            is Frame.Cancel -> Unit.right().also { streams.remove(frame.stream)?.job?.cancel() }
            is Frame.Credit -> credit(frame)
            else -> MalformedFrame("unexpected ${frame.javaClass.simpleName} frame from the client").left()
        }

    override fun onEnded(failure: LinkFailure) {
        streams.values.forEach { it.job.cancel() }
        streams.clear()
    }

    /** Starts the handler of a new stream. Stream ids grow, so a lower or equal id is a duplicate and is ignored. */
    private fun open(frame: Frame.Open): Either<MalformedFrame, Unit> {
        if (frame.stream <= lastStreamId) return Unit.right()
        if (streams.size >= MAX_STREAMS) return MalformedFrame("more than $MAX_STREAMS concurrent streams").left()
        lastStreamId = frame.stream
        val window = CreditWindow(options.windowBytes)
        val job = scope.launch(start = CoroutineStart.LAZY) { runHandler(frame.stream, frame.request, window) }
        streams[frame.stream] = ServerStream(job, window, frame.request.isEndless)
        job.invokeOnCompletion { streams.remove(frame.stream) }
        job.start()
        return Unit.right()
    }

    private fun credit(frame: Frame.Credit): Either<MalformedFrame, Unit> {
        val maxBytes = options.windowBytes + options.maxFrameBytes
        if (frame.sizeBytes !in 1..maxBytes) {
            return MalformedFrame("a credit of ${frame.sizeBytes} bytes is not from 1 to $maxBytes").left()
        }
        streams[frame.stream]?.window?.grant(frame.sizeBytes)
        return Unit.right()
    }

    private suspend fun runHandler(
        stream: Long,
        request: LinkRequest,
        window: CreditWindow,
    ) {
        var items = 0L
        try {
            handler.handle(connection.peer, request).collect { sendItem(Frame.Item(stream, items++, it), window) }
            connection.send(Frame.End(stream, items))
        } catch (e: CancellationException) {
            // A timeout inside the handler ends only this stream; report it to the peer.
            currentCoroutineContext().ensureActive()
            reportFailure(stream, request, e)
        } catch (e: Exception) {
            reportFailure(stream, request, e)
        }
    }

    private suspend fun sendItem(
        item: Frame.Item,
        window: CreditWindow,
    ) {
        val bytes = FrameCodec.encode(item)
        window.acquire(bytes.size)
        connection.sendEncoded(bytes)
    }

    private suspend fun reportFailure(
        stream: Long,
        request: LinkRequest,
        cause: Exception,
    ) {
        logger.warn(cause) { "event=link_handler_failed request=${request.javaClass.simpleName}" }
        try {
            connection.send(Frame.Fail(stream, cause.javaClass.simpleName))
        } catch (_: LinkException) {
            // The connection has ended, which has already ended the stream.
        }
    }

    private class ServerStream(
        val job: Job,
        val window: CreditWindow,
        val isEndless: Boolean,
    )

    private companion object {
        private const val MAX_STREAMS = 16_384
    }
}
