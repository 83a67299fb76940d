package org.chestnutloom.integration.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Finds free ports for processes whose port must be known before they start.
 *
 * The ports lie below the range from which the system takes the ports of outgoing connections, in a part of their own
 * for each process that runs fleets, so that nobody takes a port between its choice and its use.
 */
internal class PortAllocator {
    private var next = FIRST_PORT + (ProcessHandle.current().pid() % RANGES).toInt() * PORTS_PER_RANGE

    /** Returns a port that is free now and was not returned before. */
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
