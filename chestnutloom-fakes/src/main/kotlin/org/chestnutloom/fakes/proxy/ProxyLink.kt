package org.chestnutloom.fakes.proxy

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.time.Clock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder

/** One listener of a proxy, with its connections and its active fault. */
internal class ProxyLink(
    private val spec: LinkSpec,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val faults = LinkFaultState()
    private val connections = ConcurrentHashMap.newKeySet<ProxyConnection>()
    private val accepted = AtomicInteger()
    private val bytesToTarget = LongAdder()
    private val bytesToCaller = LongAdder()
    private lateinit var server: ServerSocket

    val port: Int
        get() = (server.localAddress as InetSocketAddress).port

    suspend fun start() {
        server = aSocket(selector).tcp().bind(LISTEN_HOST, spec.listenPort) { reuseAddress = true }
        scope.launch { acceptAll() }
    }

    fun set(fault: LinkFault) {
        faults.set(fault)
        connections.forEach(ProxyConnection::onFaultChanged)
    }

    fun stats(): LinkStats =
        LinkStats(
            name = spec.name,
            port = port,
            openConnections = connections.size,
            acceptedConnections = accepted.get(),
            bytesToTarget = bytesToTarget.sum(),
            bytesToCaller = bytesToCaller.sum(),
            faultsTaken = faults.appliedCount,
        )

    private suspend fun acceptAll() {
        server.use {
            while (scope.isActive) open(server.accept())
        }
    }

    private fun open(caller: Socket) {
        val connection = ProxyConnection(ConnectionFaults(faults, accepted.incrementAndGet()), clock, ::count)
        connection.job = scope.launch(start = CoroutineStart.LAZY) { relay(connection, caller) }
        connections += connection
        connection.job.invokeOnCompletion {
            connections -= connection
            caller.close()
        }
        if (connection.closesImmediately()) connection.job.cancel() else connection.job.start()
    }

    private suspend fun relay(
        connection: ProxyConnection,
        caller: Socket,
    ) {
        try {
            aSocket(selector).tcp().connect(spec.targetHost, spec.targetPort) { noDelay = true }.use { target ->
                connection.relay(caller, target)
            }
        } catch (_: IOException) {
            // A failure of one side closes the other side too, as on a connection without a proxy.
            return
        }
    }

    private fun count(
        direction: Direction,
        bytes: Int,
    ) {
        val counter = if (direction == Direction.TO_TARGET) bytesToTarget else bytesToCaller
        counter.add(bytes.toLong())
    }

    private companion object {
        const val LISTEN_HOST = "127.0.0.1"
    }
}
