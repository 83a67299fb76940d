package org.chestnutloom.edge.http

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A pool of persistent connections to one server; confined to the event loop. */
public class ConnectionPool(
    public val address: PeerAddress,
    private val connector: HttpConnector,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val idle = ArrayDeque<HttpConnection>()
    private var isClosed = false

    private var suspicion = IdleSuspicion.NONE

    /** The idle timeout that the server stated last, which holds for connections that were not used yet as well. */
    private var statedTimeout: Duration? = null

    /** Returns the most recently used idle connection that is not suspected, or opens a new one. */
    public suspend fun acquire(): Either<ConnectFailure, HttpConnection> {
        takeIdle(suspicion.lastUsedBefore)?.let { return it.right() }
        val opened = connector.connect(address)
        if (opened.isRight() || suspicion === IdleSuspicion.NONE) return opened
        // A slow server may still respond where opening a connection takes too long.
        return takeIdle(Duration.ZERO)?.right() ?: opened
    }

    /**
     * Returns what [read] reads of a response that is due after [wait].
     *
     * While it is late, the connections on which nothing has arrived since it was due are not used for other requests,
     * as connections that are open at the same time tend to go silent together. Null means that it did not arrive.
     */
    public suspend fun <T : Any> whileDueIn(
        wait: Duration,
        read: suspend () -> T?,
    ): T? =
        coroutineScope {
            var suspected: IdleSuspicion? = null
            val lateness =
                launch {
                    delay(wait + LATE_AFTER)
                    suspected = suspectIdle(LATE_AFTER)
                }
            val response = read()
            lateness.cancel()
            // The connection was slow, not silent.
            if (response != null) suspected?.let(::withdraw)
            response
        }

    /** Whether a connection waits for another request. */
    internal val hasIdle: Boolean
        get() = idle.any { it.isReusable }

    /** Opens a connection that does not belong to the pool. */
    internal suspend fun open(): Either<ConnectFailure, HttpConnection> = connector.connect(address)

    /** Takes an idle connection that was open at [time] at the latest out of the pool, or returns null. */
    internal fun takeOpenedBefore(time: Duration): HttpConnection? {
        val connection = idle.firstOrNull { it.openedAt <= time && it.isReusable } ?: return null
        idle.remove(connection)
        return connection
    }

    /** Opens a connection for a later request, and returns whether the server accepted it. */
    public suspend fun addIdle(): Boolean {
        val connection = connector.connect(address).getOrElse { return false }
        release(connection)
        return true
    }

    /** Returns [connection] to the pool after its exchange. */
    public fun release(connection: HttpConnection) {
        if (isClosed) return connection.close()
        connection.keepAliveTimeout?.let { statedTimeout = it }
        idle.addLast(connection)
        scope.launch { closeAfterIdleTimeout(connection) }
    }

    /** Returns [connection] to the pool once its request is fully written, or closes it when that takes too long. */
    public suspend fun releaseWhenSent(connection: HttpConnection) {
        var polls = 0
        while (!connection.isReusable && polls++ < MAX_SEND_POLLS) delay(SEND_POLL_INTERVAL)
        if (connection.isReusable) release(connection) else discard(connection)
    }

    /** Closes [connection] after a failed exchange. */
    public fun discard(connection: HttpConnection) {
        connection.close()
    }

    /** Closes idle connections now and others when they are released. */
    public fun close() {
        isClosed = true
        idle.forEach { it.close() }
        idle.clear()
    }

    /** Suspects the connections that have been idle for at least [idleTime] to be silent. */
    private fun suspectIdle(idleTime: Duration): IdleSuspicion {
        val earlier = if (suspicion === IdleSuspicion.NONE) null else suspicion.lastUsedBefore
        return IdleSuspicion(clock.elapsed() - idleTime, earlier).also { suspicion = it }
    }

    /** Returns to the suspicion before [withdrawn], unless there is a later one. */
    private fun withdraw(withdrawn: IdleSuspicion) {
        if (suspicion !== withdrawn) return
        suspicion = withdrawn.earlierLastUsedBefore?.let { IdleSuspicion(it, null) } ?: IdleSuspicion.NONE
    }

    /** Takes the most recently used idle connection if its last exchange completed at [usedSince] or later. */
    private fun takeIdle(usedSince: Duration): HttpConnection? {
        while (true) {
            val connection = idle.lastOrNull() ?: return null
            if (connection.idleSince < usedSince) return null
            idle.removeLast()
            if (connection.isReusable && !isExpired(connection)) return connection
            connection.close()
        }
    }

    private fun isExpired(connection: HttpConnection): Boolean =
        clock.elapsed() - connection.idleSince >= idleTimeout(connection)

    /** Returns less than the server's own timeout, so that no request races with the server closing the connection. */
    private fun idleTimeout(connection: HttpConnection): Duration {
        val serverTimeout = connection.keepAliveTimeout ?: statedTimeout ?: return DEFAULT_IDLE_TIMEOUT
        return serverTimeout * IDLE_TIMEOUT_FRACTION
    }

    private suspend fun closeAfterIdleTimeout(connection: HttpConnection) {
        val completedBefore = connection.completedExchanges
        delay(idleTimeout(connection))
        if (connection.completedExchanges == completedBefore && idle.remove(connection)) connection.close()
    }

    private companion object {
        /** Above the normal latency of a server, and less than the time after which calls to the store are hedged. */
        private val LATE_AFTER = 150.milliseconds

        /** For servers that send no `Keep-Alive` header, since they may still close idle connections. */
        private val DEFAULT_IDLE_TIMEOUT = 4_000.milliseconds
        private const val IDLE_TIMEOUT_FRACTION = 0.7
        private val SEND_POLL_INTERVAL = 5.milliseconds
        private const val MAX_SEND_POLLS = 20
    }
}
