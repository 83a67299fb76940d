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
 * Counts over the whole fleet at how many crashes each body was in flight.
 *
 * Sidecars report what is at their target. A crash is seen when a sidecar reports one, or when a sidecar itself is gone
 * while bodies were at its target.
 */
internal class CrashTracker(
    private val mechanisms: Mechanisms,
) {
    private val inFlight = HashMap<TargetId, InFlight>()
    private var history = CrashHistory.empty(MAX_HASHES)

    /** Refuses a call whose body was in flight at two crashes. */
    @Synchronized
    fun check(bodyHash: String): Refusal? {
        val isQuarantined = history.verdictOf(bodyHash) == CrashVerdict.QUARANTINED
        return if (isQuarantined && mechanisms.has(Mechanism.QUARANTINE)) quarantined() else null
    }

    /** Takes note of a report by the run [incarnation] of the sidecar of [target]. */
    @Synchronized
    fun recordReport(
        target: TargetId,
        incarnation: Incarnation,
        report: LoadReport,
    ) {
        val before = inFlight[target]
        if (before != null && before.incarnation != incarnation) recordSidecarLoss(target, before)
        inFlight[target] = InFlight(incarnation, report.inFlightHashes)
        val counts = report.crashedHashes.groupingBy { it }.eachCount()
        counts.forEach { (hash, count) -> recordCrashes(hash, count, "$target/$incarnation") }
    }

    /** Takes note that the watch on the sidecar of [target] ended. */
    @Synchronized
    fun recordLinkLoss(
        target: TargetId,
        failure: LinkFailure?,
    ) {
        if (failure !is LinkFailure.Refused) return
        inFlight.remove(target)?.let { recordSidecarLoss(target, it) }
    }

    private fun recordCrashes(
        hash: String,
        count: Int,
        site: String,
    ) = (1..count).forEach { history = history.recordCrash(listOf(hash), "$site/$it") }

    private fun recordSidecarLoss(
        target: TargetId,
        lost: InFlight,
    ) {
        if (lost.hashes.isEmpty()) return
        history = history.recordCrash(lost.hashes, "$target/${lost.incarnation}/gone")
    }

    private fun quarantined() =
        Refusal(RefusalCode.QUARANTINED, Execution.NOT_RUN, "calls with this body were in flight at two crashes")

    private class InFlight(
        val incarnation: Incarnation,
        val hashes: List<String>,
    )

    private companion object {
        const val MAX_HASHES = 10_000
    }
}
