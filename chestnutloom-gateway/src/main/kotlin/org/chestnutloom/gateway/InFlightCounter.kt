package org.chestnutloom.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts in-flight requests and turns, so that a graceful shutdown can wait for them. */
internal class InFlightCounter {
    private val state = MutableStateFlow(0)

    /** The number of requests and turns in flight. */
    val count: Int
        get() = state.value

    /** Records the start of a request or turn. */
    fun increment() = state.update { it + 1 }

    /** Records the end of a request or turn. */
    fun decrement() = state.update { it - 1 }

    /** Suspends until nothing is in flight. */
    suspend fun awaitZero() {
        state.first { it == 0 }
    }
}
