package org.chestnutloom.sidecar.crash

import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.quarantine.CrashHistory
import org.chestnutloom.quarantine.CrashVerdict
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Keeps which bodies are at the target, and which were there when it crashed. */
internal class CrashWatch(
    private val processName: String,
    private val mechanisms: Mechanisms,
) {
    private val inFlight = ConcurrentHashMap<String, Int>()
    private val ledger = AtomicReference(CrashHistory.empty())

    val inFlightHashes: List<String>
        get() = inFlight.keys.toList()

    val crashedHashes: List<String>
        get() = ledger.get().crashedHashes

    fun verdictOf(hash: String): CrashVerdict {
        if (!mechanisms.has(Mechanism.QUARANTINE)) return CrashVerdict.CLEAR
        return ledger.get().verdictOf(hash)
    }

    fun onSent(hash: String) {
        inFlight.merge(hash, 1, Int::plus)
    }

    /** Takes note that a call with [hash] is over; a body that ran alone to its end is a suspect no more. */
    fun onEnded(
        hash: String,
        survivedAlone: Boolean,
    ) {
        inFlight.computeIfPresent(hash) { _, calls -> (calls - 1).takeIf { it > 0 } }
        if (survivedAlone) ledger.updateAndGet { it.recordSurvival(hash) }
    }

    /** Takes note that a call with [hash] was at the target when crash number [crash] ended the target's process. */
    fun onCrash(
        hash: String,
        crash: Int,
    ) {
        ledger.updateAndGet { it.recordCrash(listOf(hash), "$processName/$crash") }
    }
}
