package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.chestnutloom.time.Clock
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** Opens connections to one peer address. */
internal class Connector(
    val address: PeerAddress,
    private val self: PeerIdentity,
    private val expectedPeerId: String?,
    private val heartbeats: HeartbeatSource,
    private val options: LinkOptions,
    private val clock: Clock,
) {
    /** Connects and performs the handshake; [onHeartbeat] then receives the peer's heartbeats. */
    suspend fun connect(onHeartbeat: (Heartbeat) -> Unit): Either<LinkFailure, ClientConnection> {
        var socket: FrameSocket? = null
        val result = withTimeoutOrNull(options.connectTimeout) { attempt(onHeartbeat) { socket = it } }
        if (result == null || result.isLeft()) socket?.close()
        return result ?: unreachable("no handshake within ${options.connectTimeout.inWholeMilliseconds} ms").left()
    }

    private suspend fun attempt(
        onHeartbeat: (Heartbeat) -> Unit,
        onSocket: (FrameSocket) -> Unit,
    ): Either<LinkFailure, ClientConnection> =
        try {
            val socket = aSocket(sharedSelector).tcp().connect(address.host, address.port)
            val frames = FrameSocket(socket, options.maxFrameBytes, clock)
            onSocket(frames)
            frames
                .handshakeAsClient(self, clock)
                .mapLeft { LinkFailure.Malformed(address, it.detail) }
                .flatMap { checkPeer(it) }
                .map { clientConnection(frames, it, onHeartbeat) }
        } catch (e: ConnectException) {
            refusedOrUnreachable(e).left()
        } catch (e: IOException) {
            unreachable(e.javaClass.simpleName).left()
        } catch (_: UnresolvedAddressException) {
            unreachable("the host is not an IP address").left()
        }

    private fun clientConnection(
        frames: FrameSocket,
        handshake: Handshake,
        onHeartbeat: (Heartbeat) -> Unit,
    ): ClientConnection {
        val connection = Connection(frames, handshake, address, options, heartbeats, clock)
        return ClientConnection(connection, address, options, onHeartbeat)
    }

    private fun checkPeer(handshake: Handshake): Either<LinkFailure, Handshake> {
        if (expectedPeerId == null || handshake.peer.id == expectedPeerId) return handshake.right()
        return LinkFailure.WrongPeer(expectedPeerId, handshake.peer).left()
    }

    private fun refusedOrUnreachable(cause: ConnectException): LinkFailure {
        val refused = cause.message.orEmpty().contains("refused", ignoreCase = true)
        return if (refused) LinkFailure.Refused(address) else unreachable("the connection attempt failed")
    }

    private fun unreachable(detail: String): LinkFailure = LinkFailure.Unreachable(address, detail)
}
