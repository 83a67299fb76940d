package org.chestnutloom.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the requests and turns under way, so that a planned stop can wait for their end. */
internal class InFlightCounter {
    private val state = MutableStateFlow(0)

    /** How many requests and turns are under way. */
    val count: Int
        get() = state.value

    /** Takes note that one begins. */
    fun increment() = state.update { it + 1 }

    /** Takes note that one ended. */
    fun decrement() = state.update { it - 1 }

    /** Waits until none is under way. */
    suspend fun awaitZero() {
        state.first { it == 0 }
    }
}
