package org.chestnutloom.gateway.program

import org.chestnutloom.id.CallId
import java.util.UUID

/**
 * Remembers the ids of calls that did not give an answer.
 *
 * A sidecar gives the same refusal again for an id that it knows, so the next try of such a call needs a fresh id.
 */
internal class FailedCallIds {
    private val failed =
        object : LinkedHashMap<CallId, Unit>() {
            override fun removeEldestEntry(eldest: Map.Entry<CallId, Unit>): Boolean = size > MAX_IDS
        }

    /** Takes note that the call [id] gave no answer. */
    @Synchronized
    fun add(id: CallId) {
        failed[id] = Unit
    }

    /** Returns [first], or a fresh id when a call with that id gave no answer before. */
    @Synchronized
    fun usableId(first: CallId): CallId = if (first in failed) CallId("${first.value}.${UUID.randomUUID()}") else first

    private companion object {
        const val MAX_IDS = 10_000
    }
}
