package org.chestnutloom.gateway.call

import org.chestnutloom.id.CallId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId
import java.util.concurrent.ConcurrentHashMap

/** The calls that this gateway has at sidecars, so that they can be cancelled. */
internal class InFlightCalls(
    private val notifier: SidecarNotifier,
) {
    private val calls = ConcurrentHashMap<CallId, InFlightCall>()
    private val cancelledPrograms =
        object : LinkedHashMap<ProgramId?, Unit>() {
            override fun removeEldestEntry(eldest: Map.Entry<ProgramId?, Unit>): Boolean = size > MAX_CANCELLED
        }

    /** Takes note of [call], whose id is [id], while [block] runs. */
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

    /** Asks sidecars to cancel the calls that came with [key]; a running non-idempotent call ends all the same. */
    fun cancelKey(key: KeyId) = cancelWhere { it.key == key }

    /** Stops further calls of [program] and asks sidecars to cancel those at them; non-idempotent ones end all the same. */
    fun cancelProgram(program: ProgramId) {
        synchronized(cancelledPrograms) { cancelledPrograms[program] = Unit }
        cancelWhere { it.program == program }
    }

    /** Tells whether [program] was cancelled here lately. */
    fun isCancelled(program: ProgramId?): Boolean = synchronized(cancelledPrograms) { program in cancelledPrograms }

    private fun cancelWhere(matches: (InFlightCall) -> Boolean) {
        calls.filterValues(matches).forEach { (id, call) -> notifier.cancel(call.sidecar, id) }
    }

    private companion object {
        const val MAX_CANCELLED = 10_000
    }
}
