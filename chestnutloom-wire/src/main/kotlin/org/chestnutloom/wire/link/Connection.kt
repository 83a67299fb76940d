package org.chestnutloom.wire.link

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.time.Clock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** One established connection after the handshake; used by both the client and the server side of a link. */
internal class Connection(
    private val socket: FrameSocket,
    private val handshake: Handshake,
    private val address: PeerAddress,
    private val options: LinkOptions,
    private val heartbeats: HeartbeatSource,
    private val clock: Clock,
) {
    private val sendQueue = Channel<ByteArray>(SEND_QUEUE_FRAMES)
    private val unflushedFrames = AtomicInteger()
    private val failure = CompletableDeferred<LinkFailure>()
    private val tracker = HeartbeatTracker(clock, handshake.helloSentAt)

    val peer: PeerIdentity
        get() = handshake.peer

    val isOpen: Boolean
        get() = !failure.isCompleted

    /** Whether every queued frame has been written to the socket. */
    val isFlushed: Boolean
        get() = unflushedFrames.get() <= 0

    /** Queues [frame], suspending while the queue is full; throws [LinkException] once the connection has ended. */
    suspend fun send(frame: Frame): Int {
        val bytes = FrameCodec.encode(frame)
        if (bytes.size > options.maxFrameBytes) {
            val detail = "a frame of ${bytes.size} bytes exceeds the limit of ${options.maxFrameBytes} bytes"
            throw LinkException(lost(detail))
        }
        sendEncoded(bytes)
        return bytes.size
    }

    /** Queues an encoded frame. */
    suspend fun sendEncoded(bytes: ByteArray) {
        unflushedFrames.incrementAndGet()
        try {
            sendQueue.send(bytes)
        } catch (e: CancellationException) {
            unflushedFrames.decrementAndGet()
            throw e
        }
    }

    /** Ends sending after everything that was queued has been handed to the operating system. */
    suspend fun finishWriting() {
        socket.finishWriting()
    }

    /** Closes the connection with the reason [detail]. */
    fun close(detail: String) {
        failure.complete(lost(detail))
    }

    /** Returns why the connection ended, or null while it is open. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun failureOrNull(): LinkFailure? = if (failure.isCompleted) failure.getCompleted() else null

    /** Reads, writes and sends heartbeats until the connection ends. */
    suspend fun run(events: ConnectionEvents) {
        try {
            coroutineScope {
                val loops = launch { runLoops(events) }
                failure.await()
                socket.close()
                loops.cancel()
            }
        } finally {
            failure.complete(lost("the link was closed"))
            socket.close()
            withContext(NonCancellable) { finish(events) }
        }
    }

    private suspend fun finish(events: ConnectionEvents) {
        val reason = failure.await()
        sendQueue.close(LinkException(reason))
        // Closing a channel leaves suspended senders suspended; emptying it resumes them.
        while (sendQueue.tryReceive().isSuccess) Unit
        events.onEnded(reason)
    }

    private fun CoroutineScope.runLoops(events: ConnectionEvents) {
        launch { endOnFailure { writeFrames() } }
        launch { endOnFailure { readFrames(events) } }
        launch { endOnFailure { sendHeartbeats() } }
        if (options.mechanisms.has(Mechanism.LINK_HEARTBEAT)) launch { watchSilence() }
    }

    private suspend fun endOnFailure(loop: suspend () -> Unit) {
        try {
            loop()
        } catch (e: CancellationException) {
            close("the link was closed")
            throw e
        } catch (e: IOException) {
            close(e.javaClass.simpleName)
        } catch (e: LinkException) {
            failure.complete(e.failure)
        } catch (e: RuntimeException) {
            logger.warn(e) { "event=link_defect peer=${address.host}:${address.port}" }
            close(e.javaClass.simpleName)
        }
    }

    private suspend fun writeFrames() {
        for (first in sendQueue) {
            socket.write(first)
            var written = 1
            var next = sendQueue.tryReceive()
            while (next.isSuccess) {
                socket.write(next.getOrThrow())
                written++
                next = sendQueue.tryReceive()
            }
            socket.flush()
            unflushedFrames.addAndGet(-written)
        }
    }

    private suspend fun readFrames(events: ConnectionEvents) {
        while (true) {
            val outcome = socket.read().fold({ it }, { dispatch(it, events) }) ?: continue
            failure.complete(LinkFailure.Malformed(address, outcome.detail))
            return
        }
    }

    private fun dispatch(
        received: SizedFrame,
        events: ConnectionEvents,
    ): MalformedFrame? =
        when (val frame = received.frame) {
            is Frame.Hello -> MalformedFrame("received a second Hello frame")
            is Frame.HeartbeatFrame -> null.also { events.onHeartbeat(tracker.received(frame)) }
            else -> events.onFrame(received).fold({ it }, { null })
        }

    private suspend fun sendHeartbeats() {
        while (true) {
            send(tracker.frameFor(heartbeats.current()))
            delay(options.heartbeatInterval)
        }
    }

    /**
     * Closes the connection when no bytes arrive for the silence timeout.
     *
     * A check counts at most two heartbeat intervals, so that a pause of this process, such as a long garbage
     * collection, is not mistaken for a silent peer.
     */
    private suspend fun watchSilence() {
        val maxStep = options.heartbeatInterval * 2
        var silent = Duration.ZERO
        var lastByteAt = socket.receivedAt
        var checkedAt = clock.elapsed()
        while (silent < options.silenceTimeout) {
            delay(options.heartbeatInterval / 2)
            val now = clock.elapsed()
            silent = if (socket.receivedAt == lastByteAt) silent + minOf(now - checkedAt, maxStep) else Duration.ZERO
            lastByteAt = socket.receivedAt
            checkedAt = now
        }
        close("silent for ${options.silenceTimeout.inWholeMilliseconds} ms")
    }

    private fun lost(detail: String): LinkFailure = LinkFailure.Lost(address, detail)

    private companion object {
        private const val SEND_QUEUE_FRAMES = 64
    }
}
