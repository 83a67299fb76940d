package org.chestnutloom.wire.link

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Holds back the sender of one stream while its reader is behind. */
internal class CreditWindow(
    initialBytes: Long,
) {
    private val availableBytes = MutableStateFlow(initialBytes)

    /** Waits until something may be sent, and counts [sizeBytes] as sent; only one caller at a time. */
    suspend fun acquire(sizeBytes: Int) {
        availableBytes.first { it > 0 }
        availableBytes.update { it - sizeBytes }
    }

    /** Allows [sizeBytes] more. */
    fun grant(sizeBytes: Long) {
        availableBytes.update { it + sizeBytes }
    }
}
