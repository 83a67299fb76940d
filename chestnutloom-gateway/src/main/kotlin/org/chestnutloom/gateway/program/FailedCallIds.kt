package org.chestnutloom.gateway.program

import org.chestnutloom.id.CallId
import java.util.UUID

/**
 * Stores the ids of calls that were refused.
 *
 * A sidecar repeats its refusal for a known call id, so a retry of the call needs a new id.
 */
internal class FailedCallIds {
    private val failed =
        object : LinkedHashMap<CallId, Unit>() {
            override fun removeEldestEntry(eldest: Map.Entry<CallId, Unit>): Boolean = size > MAX_IDS
        }

    /** Records that the call [id] was refused. */
    @Synchronized
    fun add(id: CallId) {
        failed[id] = Unit
    }

    /** Returns [first], or a new id derived from it if the call [first] was refused. */
    @Synchronized
    fun usableId(first: CallId): CallId = if (first in failed) CallId("${first.value}.${UUID.randomUUID()}") else first

    private companion object {
        const val MAX_IDS = 10_000
    }
}
