package org.chestnutloom.edge.http

/** The callers' open connections; confined to the event loop. */
internal class IngressRegistry {
    private val connections = LinkedHashSet<IngressConnection>()

    /** Whether a graceful shutdown has begun, in which each response is the last on its connection. */
    var isShuttingDown: Boolean = false
        private set

    /** Whether any connection has a request in progress or a response that is not written yet. */
    val isBusy: Boolean
        get() = connections.any { it.isBusy }

    fun add(connection: IngressConnection) {
        connections += connection
    }

    fun remove(connection: IngressConnection) {
        connections -= connection
    }

    /** Starts to close each connection after its next response. */
    fun beginShutdown() {
        isShuttingDown = true
    }

    /** Closes the connections without a request in progress. */
    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle() }
    }
}
