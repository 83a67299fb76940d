package org.chestnutloom.gateway.call

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.quarantine.CrashHistory
import org.chestnutloom.quarantine.CrashVerdict
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.message.LoadReport

/**
 * Counts, across all targets, the crashes during which each request body was in flight.
 *
 * Sidecars report the hashes of the bodies in flight at their target. A crash is recorded when a sidecar reports one,
 * or when a sidecar's process ends or restarts while bodies are in flight at its target.
 */
internal class CrashTracker(
    private val mechanisms: Mechanisms,
) {
    private val inFlight = HashMap<TargetId, InFlight>()
    private var history = CrashHistory.empty(MAX_HASHES)

    /** Returns a refusal if the body with [bodyHash] was in flight during two crashes, or null. */
    @Synchronized
    fun check(bodyHash: String): Refusal? {
        val isQuarantined = history.verdictOf(bodyHash) == CrashVerdict.QUARANTINED
        return if (isQuarantined && mechanisms.has(Mechanism.QUARANTINE)) quarantined() else null
    }

    /** Records a load report from [incarnation] of the sidecar of [target]. */
    @Synchronized
    fun recordReport(
        target: TargetId,
        incarnation: Incarnation,
        report: LoadReport,
    ) {
        val before = inFlight[target]
        if (before != null && before.incarnation != incarnation) recordSidecarFailure(target, before)
        inFlight[target] = InFlight(incarnation, report.inFlightHashes)
        val counts = report.crashedHashes.groupingBy { it }.eachCount()
        counts.forEach { (hash, count) -> recordCrashes(hash, count, "$target/$incarnation") }
    }

    /** Records that load reports from the sidecar of [target] stopped; only a refused connection counts as a crash. */
    @Synchronized
    fun recordLinkLoss(
        target: TargetId,
        failure: LinkFailure?,
    ) {
        if (failure !is LinkFailure.Refused) return
        inFlight.remove(target)?.let { recordSidecarFailure(target, it) }
    }

    private fun recordCrashes(
        hash: String,
        count: Int,
        crashIdPrefix: String,
    ) = (1..count).forEach { history = history.recordCrash(listOf(hash), "$crashIdPrefix/$it") }

    private fun recordSidecarFailure(
        target: TargetId,
        atFailure: InFlight,
    ) {
        if (atFailure.hashes.isEmpty()) return
        history = history.recordCrash(atFailure.hashes, "$target/${atFailure.incarnation}/gone")
    }

    private fun quarantined() =
        Refusal(RefusalCode.QUARANTINED, Execution.NOT_RUN, "Calls with this body were in flight during two crashes.")

    private class InFlight(
        val incarnation: Incarnation,
        val hashes: List<String>,
    )

    private companion object {
        const val MAX_HASHES = 10_000
    }
}
