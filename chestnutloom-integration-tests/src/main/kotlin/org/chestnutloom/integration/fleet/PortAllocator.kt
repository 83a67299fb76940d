package org.chestnutloom.integration.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Allocates free ports for processes whose port must be known before they start.
 *
 * The ports are below the ephemeral port range, and each test process allocates from its own range, chosen by process
 * id, so that no other connection or test process takes a port between its allocation and its use.
 */
internal class PortAllocator {
    private var next = FIRST_PORT + (ProcessHandle.current().pid() % RANGES).toInt() * PORTS_PER_RANGE

    /** Returns a port that is currently free and was not returned before. */
    @Synchronized
    fun next(): Int = generateSequence { next++ }.first(::isFree)

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val FIRST_PORT = 12_000
        const val RANGES = 100
        const val PORTS_PER_RANGE = 200
    }
}
