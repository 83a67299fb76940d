package org.chestnutloom.edge.http

import kotlin.time.Duration

/**
 * The suspicion that idle connections of a pool have gone silent.
 *
 * @property lastUsedBefore monotonic time; connections whose last exchange completed before it are suspected
 * @property earlierLastUsedBefore the same of the suspicion before, or null if there was none
 */
internal class IdleSuspicion(
    val lastUsedBefore: Duration,
    val earlierLastUsedBefore: Duration?,
) {
    companion object {
        val NONE = IdleSuspicion(Duration.ZERO, null)
    }
}
