package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.wire.message.LinkRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** The client side of one connection, with its open streams. */
internal class ClientConnection(
    private val connection: Connection,
    private val address: PeerAddress,
    private val options: LinkOptions,
    private val heartbeatListener: (Heartbeat) -> Unit,
) : ConnectionEvents {
    private val streams = ConcurrentHashMap<Long, ClientStream>()
    private val openMutex = Mutex()
    private var nextId = Random.nextLong(MAX_FIRST_ID)

    val peer: PeerIdentity
        get() = connection.peer

    val isOpen: Boolean
        get() = connection.isOpen

    suspend fun run() {
        connection.run(this)
    }

    fun close(detail: String) {
        connection.close(detail)
    }

    /** Opens a stream for [request], or returns null if the connection ended before anything was sent. */
    suspend fun open(request: LinkRequest): ClientStream? =
        openMutex.withLock {
            val stream = ClientStream(nextId++, address, options)
            streams[stream.id] = stream
            if (!connection.isOpen) {
                streams.remove(stream.id)
                return null
            }
            sendOpen(stream, request)
            stream
        }

    /** Reads the next reply, and grants the peer more credit when due. */
    suspend fun next(stream: ClientStream): SizedReply? {
        val reply = stream.next() ?: return null
        val creditBytes = stream.markRead(reply)
        if (creditBytes > 0) sendIfOpen(Frame.Credit(stream.id, creditBytes))
        return reply
    }

    /** Removes [stream], and cancels it at the peer unless it has ended. */
    suspend fun release(stream: ClientStream) {
        if (streams.remove(stream.id) == null) return
        withContext(NonCancellable) {
            withTimeoutOrNull(options.silenceTimeout) { sendIfOpen(Frame.Cancel(stream.id)) }
        }
    }

    override fun onHeartbeat(heartbeat: Heartbeat) {
        heartbeatListener(heartbeat)
    }

    override fun onFrame(received: SizedFrame): Either<MalformedFrame, Unit> =
        when (val frame = received.frame) {
            is Frame.Item -> streams[frame.stream]?.item(frame, received.sizeBytes) ?: Unit.right()
            is Frame.End -> Unit.right().also { streams.remove(frame.stream)?.end(frame.items) }
            is Frame.Fail -> Unit.right().also { streams.remove(frame.stream)?.fail(failed(frame.detail)) }
            else -> MalformedFrame("unexpected ${frame.javaClass.simpleName} frame from the server").left()
        }

    override fun onEnded(failure: LinkFailure) {
        streams.values.forEach { it.fail(asLost(failure)) }
        streams.clear()
    }

    private suspend fun sendOpen(
        stream: ClientStream,
        request: LinkRequest,
    ) {
        try {
            connection.send(Frame.Open(stream.id, request))
        } catch (e: LinkException) {
            streams.remove(stream.id)
            throw e
        }
        // The connection may have ended and failed its streams before this one was registered.
        connection.failureOrNull()?.let { stream.fail(asLost(it)) }
    }

    private suspend fun sendIfOpen(frame: Frame) {
        try {
            connection.send(frame)
        } catch (_: LinkException) {
            // The stream fails with the same reason.
        }
    }

    private fun asLost(failure: LinkFailure): LinkFailure =
        if (failure is LinkFailure.Malformed) failure else LinkFailure.Lost(address, failure.toString())

    private fun failed(detail: String): LinkFailure = LinkFailure.Lost(address, detail)

    private companion object {
        private const val MAX_FIRST_ID = Long.MAX_VALUE / 2
    }
}
