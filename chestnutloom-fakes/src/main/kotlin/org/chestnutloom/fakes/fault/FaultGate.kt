package org.chestnutloom.fakes.fault

/** Holds the fault that is in force and counts the requests that it still holds for. */
internal class FaultGate {
    private val lock = Any()
    private var current = Fault.NONE

    fun set(fault: Fault) {
        synchronized(lock) { current = fault }
    }

    /** Returns the fault that the request with [body] meets. */
    fun next(body: ByteArray): Fault = synchronized(lock) { take(body) }

    private fun take(body: ByteArray): Fault {
        val fault = current
        val match = fault.match
        if (match != null && match !in body.decodeToString()) return Fault.NONE
        val count = fault.count ?: return fault
        if (count <= 0) return Fault.NONE
        current = fault.copy(count = count - 1)
        return fault
    }
}
