package org.chestnutloom.wire.link

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Returns a link server bound to [bind]; port 0 selects a free port.
 *
 * @param self the identity that this process presents in the handshake
 * @param scope the parent scope of the server; its cancellation stops the server
 */
public fun linkServer(
    bind: PeerAddress,
    self: PeerIdentity,
    handler: LinkHandler,
    heartbeats: HeartbeatSource,
    options: LinkOptions,
    clock: Clock,
    scope: CoroutineScope,
): LinkServer = TcpLinkServer(bind, self, handler, heartbeats, options, clock, scope)

private class TcpLinkServer(
    private val bind: PeerAddress,
    private val self: PeerIdentity,
    private val handler: LinkHandler,
    private val heartbeats: HeartbeatSource,
    private val options: LinkOptions,
    private val clock: Clock,
    parentScope: CoroutineScope,
) : LinkServer {
    private val job: Job = SupervisorJob(parentScope.coroutineContext.job)
    private val scope = CoroutineScope(parentScope.coroutineContext + job)
    private val open = ConcurrentHashMap.newKeySet<ServerConnection>()
    private var serverSocket: ServerSocket? = null

    override suspend fun start(): Int {
        val socket = aSocket(sharedSelector).tcp().bind(bind.host, bind.port) { reuseAddress = true }
        serverSocket = socket
        scope.launch { accept(socket) }
        return socket.port
    }

    override suspend fun drain(timeout: Duration) {
        withTimeoutOrNull(timeout) {
            while (open.any { it.hasPendingReplies }) delay(DRAIN_POLL_INTERVAL)
            coroutineScope { open.forEach { launch { finishWriting(it) } } }
        }
    }

    /** A connection that is lost meanwhile has nothing left to send. */
    private suspend fun finishWriting(connection: ServerConnection) {
        try {
            connection.finishWriting()
        } catch (e: IOException) {
            logger.debug { "event=link_ended cause=${e.javaClass.simpleName}" }
        }
    }

    override suspend fun stop() {
        serverSocket?.close()
        job.cancelAndJoin()
    }

    private suspend fun accept(serverSocket: ServerSocket) {
        while (true) {
            val socket =
                try {
                    serverSocket.accept()
                } catch (e: IOException) {
                    if (serverSocket.socketContext.isCompleted) return
                    logger.warn { "event=link_accept_failed cause=${e.javaClass.simpleName}" }
                    delay(ACCEPT_RETRY_DELAY)
                    continue
                }
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        val remote = peerAddressOf(socket.remoteAddress)
        val frames = FrameSocket(socket, options.maxFrameBytes, clock)
        try {
            val handshake = withTimeoutOrNull(options.connectTimeout) { frames.handshakeAsServer(self, clock) }
            handshake?.fold({ logMalformed(remote, it) }, { runConnection(frames, it, remote) })
        } catch (e: IOException) {
            logger.debug { "event=link_ended peer=${remote.host}:${remote.port} cause=${e.javaClass.simpleName}" }
        } finally {
            frames.close()
        }
    }

    private suspend fun runConnection(
        frames: FrameSocket,
        handshake: Handshake,
        remote: PeerAddress,
    ) {
        val connection = Connection(frames, handshake, remote, options, heartbeats, clock)
        supervisorScope { run(ServerConnection(connection, handler, options, this)) }
        logIfMalformed(connection.failureOrNull(), remote)
    }

    private suspend fun run(connection: ServerConnection) {
        open += connection
        try {
            connection.run()
        } finally {
            open -= connection
        }
    }

    private fun logIfMalformed(
        failure: LinkFailure?,
        remote: PeerAddress,
    ) {
        if (failure is LinkFailure.Malformed) logMalformed(remote, MalformedFrame(failure.detail))
    }

    private fun logMalformed(
        remote: PeerAddress,
        malformed: MalformedFrame,
    ) {
        logger.warn { "event=link_malformed peer=${remote.host}:${remote.port} detail=\"${malformed.detail}\"" }
    }

    private companion object {
        private val ACCEPT_RETRY_DELAY = 100.milliseconds
        private val DRAIN_POLL_INTERVAL = 5.milliseconds
    }
}
