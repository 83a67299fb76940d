package org.chestnutloom.edge.http

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Connections to one server that are kept open between exchanges; used on the event loop only. */
public class ConnectionPool(
    public val address: PeerAddress,
    private val connector: HttpConnector,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val idle = ArrayDeque<HttpConnection>()
    private var isClosed = false

    /** Returns an open connection, the most recently used one first, or opens one. */
    public suspend fun acquire(): Either<ConnectFailure, HttpConnection> {
        takeIdle()?.let { return it.right() }
        return connector.connect(address)
    }

    /** Takes [connection] back after its exchange. */
    public fun release(connection: HttpConnection) {
        if (isClosed) return connection.close()
        idle.addLast(connection)
        scope.launch { retire(connection) }
    }

    /** Takes [connection] back once its request has left entirely, or closes it when that takes too long. */
    public suspend fun releaseWhenSent(connection: HttpConnection) {
        var waits = 0
        while (!connection.isReusable && waits++ < SEND_WAITS) delay(SEND_WAIT)
        if (connection.isReusable) release(connection) else discard(connection)
    }

    /** Closes [connection], whose exchange did not end well. */
    public fun discard(connection: HttpConnection) {
        connection.close()
    }

    /** Closes idle connections, and every other one once it is released. */
    public fun close() {
        isClosed = true
        idle.forEach { it.close() }
        idle.clear()
    }

    private fun takeIdle(): HttpConnection? {
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            if (connection.isReusable && !isStale(connection)) return connection
            connection.close()
        }
    }

    private fun isStale(connection: HttpConnection): Boolean =
        clock.elapsed() - connection.idleSince >= idleLimit(connection)

    /** Stays clear of the moment at which the server closes the connection by itself. */
    private fun idleLimit(connection: HttpConnection): Duration {
        val announced = connection.keepAlive ?: return UNANNOUNCED_IDLE
        return announced * IDLE_SHARE
    }

    private suspend fun retire(connection: HttpConnection) {
        val endedBefore = connection.exchangesEnded
        delay(idleLimit(connection))
        if (connection.exchangesEnded == endedBefore && idle.remove(connection)) connection.close()
    }

    private companion object {
        /** Servers that announce nothing may still close an idle connection. */
        private val UNANNOUNCED_IDLE = 4_000.milliseconds
        private const val IDLE_SHARE = 0.7
        private val SEND_WAIT = 5.milliseconds
        private const val SEND_WAITS = 20
    }
}
