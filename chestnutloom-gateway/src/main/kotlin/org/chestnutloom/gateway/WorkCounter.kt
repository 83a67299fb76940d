package org.chestnutloom.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the requests and turns under way, so that a planned stop can wait for their end. */
internal class WorkCounter {
    private val count = MutableStateFlow(0)

    /** How many requests and turns are under way. */
    val underWay: Int
        get() = count.value

    /** Takes note that one begins. */
    fun enter() = count.update { it + 1 }

    /** Takes note that one ended. */
    fun leave() = count.update { it - 1 }

    /** Waits until none is under way. */
    suspend fun awaitNone() {
        count.first { it == 0 }
    }
}
