package org.chestnutloom.fakes.fault

/** Holds the active fault and the number of requests that it still applies to. */
internal class FaultInjector {
    private val lock = Any()
    private var current = Fault.NONE

    fun set(fault: Fault) {
        synchronized(lock) { current = fault }
    }

    /** Returns the fault for a request with [body], and counts the request. */
    fun next(body: ByteArray): Fault = synchronized(lock) { consume(body) }

    private fun consume(body: ByteArray): Fault {
        val fault = current
        val match = fault.match
        if (match != null && match !in body.decodeToString()) return Fault.NONE
        val count = fault.count ?: return fault
        if (count <= 0) return Fault.NONE
        current = fault.copy(count = count - 1)
        return fault
    }
}
