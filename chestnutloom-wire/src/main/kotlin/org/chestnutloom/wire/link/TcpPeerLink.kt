package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/**
 * Returns a link to the process at [address].
 *
 * @param self the identity that this process presents in the handshake
 * @param expectedPeerId the gateway id or target id that the peer must have, or null to accept any
 * @param scope the parent scope of the link; its cancellation closes the link
 */
public fun peerLink(
    address: PeerAddress,
    self: PeerIdentity,
    expectedPeerId: String?,
    heartbeats: HeartbeatSource,
    options: LinkOptions,
    clock: Clock,
    scope: CoroutineScope,
): PeerLink = TcpPeerLink(Connector(address, self, expectedPeerId, heartbeats, options, clock), scope)

private class TcpPeerLink(
    private val connector: Connector,
    parentScope: CoroutineScope,
) : PeerLink {
    private val job: Job = SupervisorJob(parentScope.coroutineContext.job)
    private val scope = CoroutineScope(parentScope.coroutineContext + job)
    private var attempt: Deferred<Either<LinkFailure, ClientConnection>>? = null

    @Volatile
    private var connection: ClientConnection? = null

    @Volatile
    override var lastHeartbeat: Heartbeat? = null
        private set

    override val address: PeerAddress
        get() = connector.address

    override val peer: PeerIdentity?
        get() = connection?.peer

    override fun request(request: LinkRequest): Flow<LinkReply> =
        flow {
            val (open, stream) = openStream(request)
            try {
                emitReplies(open, stream)
            } finally {
                open.release(stream)
            }
        }

    override suspend fun close() {
        connection?.close("the link was closed")
        job.cancelAndJoin()
    }

    private suspend fun FlowCollector<LinkReply>.emitReplies(
        connection: ClientConnection,
        stream: ClientStream,
    ) {
        while (true) {
            val next = connection.next(stream) ?: return
            emit(next.reply)
        }
    }

    private suspend fun openStream(request: LinkRequest): Pair<ClientConnection, ClientStream> {
        while (true) {
            val open = connectedOrFailure().getOrElse { throw LinkException(it) }
            val stream = open.open(request) ?: continue
            return open to stream
        }
    }

    private suspend fun connectedOrFailure(): Either<LinkFailure, ClientConnection> {
        connection?.takeIf { it.isOpen }?.let { return it.right() }
        return try {
            joinOrStartConnect().await()
        } catch (_: CancellationException) {
            // If the link was closed rather than this coroutine cancelled, report a failure instead of a cancellation.
            currentCoroutineContext().ensureActive()
            LinkFailure.Unreachable(address, "the link was closed").left()
        }
    }

    @Synchronized
    private fun joinOrStartConnect(): Deferred<Either<LinkFailure, ClientConnection>> {
        attempt?.takeIf { !it.isCompleted }?.let { return it }
        return scope.async { connect() }.also { attempt = it }
    }

    private suspend fun connect(): Either<LinkFailure, ClientConnection> {
        connection?.takeIf { it.isOpen }?.let { return it.right() }
        return connector.connect { lastHeartbeat = it }.onRight { opened ->
            connection = opened
            scope.launch { opened.run() }
        }
    }
}
