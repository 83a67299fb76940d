package org.chestnutloom.gateway.call

import org.chestnutloom.id.CallId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId
import java.util.concurrent.ConcurrentHashMap

/** Tracks the calls that this gateway sent to sidecars, so that they can be cancelled. */
internal class InFlightCalls(
    private val notifier: SidecarNotifier,
) {
    private val calls = ConcurrentHashMap<CallId, InFlightCall>()
    private val cancelledPrograms =
        object : LinkedHashMap<ProgramId?, Unit>() {
            override fun removeEldestEntry(eldest: Map.Entry<ProgramId?, Unit>): Boolean = size > MAX_CANCELLED
        }

    /** Tracks [call] under [id] while [block] runs. */
    suspend fun <T> track(
        id: CallId,
        call: InFlightCall,
        block: suspend () -> T,
    ): T {
        calls[id] = call
        try {
            return block()
        } finally {
            calls.remove(id)
        }
    }

    /** Asks sidecars to cancel the calls made with [key]; non-idempotent calls that already run are completed. */
    fun cancelKey(key: KeyId) = cancelWhere { it.key == key }

    /**
     * Blocks new calls of [program] and asks sidecars to cancel its in-flight calls.
     *
     * Non-idempotent calls that already run are completed.
     */
    fun cancelProgram(program: ProgramId) {
        synchronized(cancelledPrograms) { cancelledPrograms[program] = Unit }
        cancelWhere { it.program == program }
    }

    /** Returns whether [program] is among the most recently cancelled programs. */
    fun isCancelled(program: ProgramId?): Boolean = synchronized(cancelledPrograms) { program in cancelledPrograms }

    private fun cancelWhere(matches: (InFlightCall) -> Boolean) {
        calls.filterValues(matches).forEach { (id, call) -> notifier.cancel(call.sidecar, id) }
    }

    private companion object {
        const val MAX_CANCELLED = 10_000
    }
}
