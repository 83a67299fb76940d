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
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** One open connection, from the exchange of identities to its end; both ends of a link use it. */
internal class Connection(
    private val socket: FrameSocket,
    private val handshake: Handshake,
    private val address: PeerAddress,
    private val options: LinkOptions,
    private val heartbeats: HeartbeatSource,
    private val clock: Clock,
) {
    private val outgoing = Channel<ByteArray>(OUTGOING_FRAMES)
    private val failure = CompletableDeferred<LinkFailure>()
    private val tracker = HeartbeatTracker(clock, handshake.helloSentAt)

    val peer: PeerIdentity
        get() = handshake.peer

    val isOpen: Boolean
        get() = !failure.isCompleted

    /** Sends [frame] when there is room; throws [LinkException] once the connection has ended. */
    suspend fun send(frame: Frame): Int {
        val bytes = FrameCodec.encode(frame)
        if (bytes.size > options.maxFrameBytes) throw LinkException(lost("a frame of ${bytes.size} bytes is too large"))
        sendEncoded(bytes)
        return bytes.size
    }

    /** Sends a frame that is already encoded. */
    suspend fun sendEncoded(bytes: ByteArray) {
        outgoing.send(bytes)
    }

    /** Ends the connection; [detail] says why. */
    fun close(detail: String) {
        failure.complete(lost(detail))
    }

    /** Returns why the connection ended, or null while it is open. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun failureOrNull(): LinkFailure? = if (failure.isCompleted) failure.getCompleted() else null

    /** Serves the connection until it ends. */
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
        outgoing.close(LinkException(reason))
        while (outgoing.tryReceive().isSuccess) Unit
        events.ended(reason)
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
        for (first in outgoing) {
            socket.write(first)
            var next = outgoing.tryReceive()
            while (next.isSuccess) {
                socket.write(next.getOrThrow())
                next = outgoing.tryReceive()
            }
            socket.flush()
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
            is Frame.Hello -> MalformedFrame("a second hello")
            is Frame.HeartbeatFrame -> null.also { events.heartbeat(tracker.received(frame)) }
            else -> events.frame(received).fold({ it }, { null })
        }

    private suspend fun sendHeartbeats() {
        while (true) {
            send(tracker.frameFor(heartbeats.current()))
            delay(options.heartbeatInterval)
        }
    }

    /** Ends a silent connection; time in which this process itself was paused counts little. */
    private suspend fun watchSilence() {
        val maxTick = options.heartbeatInterval * 2
        var silent = Duration.ZERO
        var heardAt = socket.receivedAt
        var checkedAt = clock.elapsed()
        while (silent < options.silenceTimeout) {
            delay(options.heartbeatInterval / 2)
            val now = clock.elapsed()
            silent = if (socket.receivedAt == heardAt) silent + minOf(now - checkedAt, maxTick) else Duration.ZERO
            heardAt = socket.receivedAt
            checkedAt = now
        }
        close("silent for ${options.silenceTimeout.inWholeMilliseconds} ms")
    }

    private fun lost(detail: String): LinkFailure = LinkFailure.Lost(address, detail)

    private companion object {
        private const val OUTGOING_FRAMES = 64
    }
}
