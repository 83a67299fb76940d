package org.chestnutloom.wire.link

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Flow-control window of one stream: suspends the sender while the reader falls behind. */
internal class CreditWindow(
    initialBytes: Long,
) {
    private val availableBytes = MutableStateFlow(initialBytes)

    /**
     * Suspends until credit is available, then deducts [sizeBytes], which may make the balance negative.
     *
     * Not safe for concurrent senders.
     */
    suspend fun acquire(sizeBytes: Int) {
        availableBytes.first { it > 0 }
        availableBytes.update { it - sizeBytes }
    }

    /** Adds [sizeBytes] of credit. */
    fun grant(sizeBytes: Long) {
        availableBytes.update { it + sizeBytes }
    }
}
