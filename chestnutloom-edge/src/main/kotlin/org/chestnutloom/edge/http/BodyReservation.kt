package org.chestnutloom.edge.http

/** The part of [memory] that one request body uses; grows with the body if its length was not announced. */
internal class BodyReservation(
    private val memory: BodyMemory,
) {
    private var bytes = 0L

    /** Makes room for a body of [bodyBytes] in total, or returns false if it does not fit. */
    fun ensure(bodyBytes: Long): Boolean {
        val missing = bodyBytes - bytes
        if (missing <= 0) return true
        if (!memory.tryReserve(missing, bodyBytes)) return false
        bytes = bodyBytes
        return true
    }

    /** Releases the memory once the body is no longer held. */
    fun release() {
        memory.release(bytes)
        bytes = 0L
    }
}
