package org.chestnutloom.edge.http

/**
 * Bounds the bytes of request bodies that a gateway holds; confined to the event loop.
 *
 * Without a bound, a few dozen large uploads at the same time exhaust the heap, and the requests of all other callers
 * fail with them. Large bodies get only a part of the capacity, so that small requests are served beside them.
 *
 * @property capacityBytes the maximum total size of all bodies
 */
public class BodyMemory(
    private val capacityBytes: Long,
) {
    /** The total size of the bodies that are held or announced. */
    public var reservedBytes: Long = 0L
        private set

    /** The number of bodies that were refused. */
    public var refusedCount: Long = 0L
        private set

    /** Reserves [bytes] for a body of at least [bodyBytes] in total, or returns false if they do not fit. */
    public fun tryReserve(
        bytes: Long,
        bodyBytes: Long = bytes,
    ): Boolean {
        val isLarge = bodyBytes > SMALL_BODY_BYTES
        val limitBytes = if (isLarge) capacityBytes * LARGE_BODY_SHARE else capacityBytes.toDouble()
        val fits = reservedBytes + bytes <= limitBytes
        if (fits) reservedBytes += bytes else refusedCount++
        return fits
    }

    /** Releases [bytes] of a body that is no longer held. */
    public fun release(bytes: Long) {
        reservedBytes -= bytes
    }

    private companion object {
        /** Bodies up to this size may use the whole capacity. */
        private const val SMALL_BODY_BYTES = 64 * 1024L
        private const val LARGE_BODY_SHARE = 0.75
    }
}
