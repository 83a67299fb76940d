package org.chestnutloom.edge.outlier

import org.chestnutloom.edge.fleet.TargetFailures
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.TargetId

/** The failures of targets that other gateways report; confined to the event loop. */
internal class PeerFailures {
    private val byGateway = HashMap<GatewayId, List<TargetFailures>>()
    private val byTarget = HashMap<TargetId, HashMap<GatewayId, TargetFailures>>()

    /** Replaces the reports of [gateway] by [reports]; ignores those whose counts cannot be true. */
    fun update(
        gateway: GatewayId,
        reports: List<TargetFailures>,
    ) {
        byGateway.remove(gateway)?.forEach { remove(gateway, it.target) }
        val plausible = reports.filter { it.failures > 0 && it.attempts in it.failures..MAX_PLAUSIBLE_ATTEMPTS }
        if (plausible.isEmpty()) return
        byGateway[gateway] = plausible
        plausible.forEach { byTarget.getOrPut(it.target, ::HashMap)[gateway] = it }
    }

    private fun remove(
        gateway: GatewayId,
        target: TargetId,
    ) {
        val reports = byTarget[target] ?: return
        reports.remove(gateway)
        if (reports.isEmpty()) byTarget.remove(target)
    }

    /** Returns the reports about the run of a target that [entry] describes. */
    fun of(entry: TargetEntry): List<TargetFailures> {
        val reports = byTarget[entry.id] ?: return emptyList()
        return reports.values.filter { it.startedAtEpochMs == entry.startedAtEpochMs }
    }

    private companion object {
        /** Above what one gateway can send to a target within the window. */
        private const val MAX_PLAUSIBLE_ATTEMPTS = 1_000_000
    }
}
