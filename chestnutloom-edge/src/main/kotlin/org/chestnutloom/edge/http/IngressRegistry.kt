package org.chestnutloom.edge.http

/** The open connections of callers; used on the event loop only. */
internal class IngressRegistry {
    private val connections = LinkedHashSet<IngressConnection>()

    /** Whether a planned stop has begun, so that every answer is the last on its connection. */
    var isStopping: Boolean = false
        private set

    /** Whether a request is being read or answered on any connection. */
    val isBusy: Boolean
        get() = connections.any { !it.isIdle }

    fun opened(connection: IngressConnection) {
        connections += connection
    }

    fun closed(connection: IngressConnection) {
        connections -= connection
    }

    /** Makes every answer the last on its connection from now on. */
    fun beginStop() {
        isStopping = true
    }

    /** Closes the connections that have nothing under way. */
    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle() }
    }
}
