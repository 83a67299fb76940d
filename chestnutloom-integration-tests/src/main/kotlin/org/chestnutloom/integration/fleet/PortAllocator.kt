package org.chestnutloom.integration.fleet

import java.net.InetAddress
import java.net.ServerSocket

/** Finds free ports for processes whose port must be known before they start. */
internal class PortAllocator {
    private val given = mutableSetOf<Int>()

    /** Returns a port that is free now and was not returned before. */
    @Synchronized
    fun next(): Int = generateSequence { free() }.first(given::add)

    private fun free(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
}
