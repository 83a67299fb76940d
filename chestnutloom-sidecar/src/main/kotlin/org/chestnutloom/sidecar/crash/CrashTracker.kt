package org.chestnutloom.sidecar.crash

import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.quarantine.CrashHistory
import org.chestnutloom.quarantine.CrashVerdict
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Tracks the request bodies in flight at the target, and those that were in flight at its crashes. */
internal class CrashTracker(
    private val processName: String,
    private val mechanisms: Mechanisms,
) {
    private val inFlight = ConcurrentHashMap<String, Int>()
    private val history = AtomicReference(CrashHistory.empty())

    val inFlightHashes: List<String>
        get() = inFlight.keys.toList()

    val crashedHashes: List<String>
        get() = history.get().crashedHashes

    fun verdictOf(hash: String): CrashVerdict {
        if (!mechanisms.has(Mechanism.QUARANTINE)) return CrashVerdict.CLEAR
        return history.get().verdictOf(hash)
    }

    fun onSent(hash: String) {
        inFlight.merge(hash, 1, Int::plus)
    }

    /** Records the end of a call with [hash]; a body that ran alone and survived is no longer a suspect. */
    fun onEnded(
        hash: String,
        survivedAlone: Boolean,
    ) {
        inFlight.computeIfPresent(hash) { _, calls -> (calls - 1).takeIf { it > 0 } }
        if (survivedAlone) history.updateAndGet { it.recordSurvival(hash) }
    }

    /** Records that a call with [hash] was in flight at crash number [crash] of the target. */
    fun onCrash(
        hash: String,
        crash: Int,
    ) {
        history.updateAndGet { it.recordCrash(listOf(hash), "$processName/$crash") }
    }
}
