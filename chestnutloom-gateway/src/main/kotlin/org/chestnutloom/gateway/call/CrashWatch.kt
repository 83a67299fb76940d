package org.chestnutloom.gateway.call

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.TargetId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.message.LoadReport

/**
 * Counts over the whole fleet at how many crashes each body was in flight.
 *
 * Sidecars report what is at their target. A crash is seen when a sidecar reports one, or when a sidecar itself is gone
 * while bodies were at its target.
 */
internal class CrashWatch(
    private val mechanisms: Mechanisms,
) {
    private val lock = Any()
    private val inFlight = HashMap<TargetId, InFlight>()
    private val crashes = LinkedHashMap<String, MutableMap<CrashSite, Int>>()

    /** Refuses a call whose body was in flight at two crashes. */
    fun check(bodyHash: String): Refusal? {
        if (!mechanisms.has(Mechanism.QUARANTINE)) return null
        val count = synchronized(lock) { crashes[bodyHash]?.values?.sum() ?: 0 }
        return if (count >= QUARANTINE_CRASHES) quarantined() else null
    }

    /** Takes note of a report by the run [incarnation] of the sidecar of [target]. */
    fun reported(
        target: TargetId,
        incarnation: Incarnation,
        report: LoadReport,
    ) = synchronized(lock) {
        val before = inFlight[target]
        if (before != null && before.incarnation != incarnation) countLost(target, before)
        inFlight[target] = InFlight(incarnation, report.inFlightHashes)
        val counts = report.crashedHashes.groupingBy { it }.eachCount()
        counts.forEach { (hash, count) -> record(hash, CrashSite(target, incarnation), count) }
    }

    /** Takes note that the watch on the sidecar of [target] ended. */
    fun linkLost(
        target: TargetId,
        failure: LinkFailure?,
    ) = synchronized(lock) {
        if (failure !is LinkFailure.Refused) return
        val gone = inFlight.remove(target) ?: return
        countLost(target, gone)
    }

    private fun countLost(
        target: TargetId,
        gone: InFlight,
    ) = gone.hashes.distinct().forEach { record(it, CrashSite(target, gone.incarnation), 1) }

    private fun record(
        hash: String,
        site: CrashSite,
        count: Int,
    ) {
        val sites = crashes.getOrPut(hash) { HashMap() }
        sites[site] = maxOf(count, sites[site] ?: 0)
        if (crashes.size > MAX_HASHES) crashes.remove(crashes.keys.first())
    }

    private fun quarantined() =
        Refusal(RefusalCode.QUARANTINED, Execution.NOT_RUN, "calls with this body were in flight at two crashes")

    private data class CrashSite(
        val target: TargetId,
        val incarnation: Incarnation,
    )

    private class InFlight(
        val incarnation: Incarnation,
        val hashes: List<String>,
    )

    private companion object {
        const val QUARANTINE_CRASHES = 2
        const val MAX_HASHES = 10_000
    }
}
