package org.chestnutloom.edge.target

import org.chestnutloom.edge.fleet.TargetLoad
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.TargetId

/**
 * The requests that other gateways have in flight at targets; confined to the event loop.
 *
 * The totals are adjusted by the difference between two states of one gateway, so that the work for a state does not
 * depend on the number of gateways.
 */
internal class PeerLoads(
    private val targets: TargetDirectory,
) {
    private val loadsByGateway = HashMap<GatewayId, List<TargetLoad>>()
    private val totals = HashMap<TargetId, TargetLoad>()

    init {
        targets.onChange { targets.all.forEach { apply(it, totalOf(it.entry.id)) } }
    }

    /** Replaces the loads of [gateway] by [loads]. */
    fun update(
        gateway: GatewayId,
        loads: List<TargetLoad>,
    ) {
        val previous = if (loads.isEmpty()) loadsByGateway.remove(gateway) else loadsByGateway.put(gateway, loads)
        previous?.forEach { add(it.target, -it.requests, -it.workMs) }
        loads.forEach { add(it.target, it.requests, it.workMs) }
    }

    private fun add(
        target: TargetId,
        requests: Int,
        workMs: Int,
    ) {
        val previous = totalOf(target)
        val total = TargetLoad(target, previous.requests + requests, previous.workMs + workMs)
        if (total.requests == 0 && total.workMs == 0) totals.remove(target) else totals[target] = total
        targets[target]?.let { apply(it, total) }
    }

    private fun apply(
        target: Target,
        total: TargetLoad,
    ) {
        target.peerInFlight = total.requests
        target.peerWorkMs = total.workMs
    }

    private fun totalOf(target: TargetId): TargetLoad = totals[target] ?: TargetLoad(target, requests = 0)
}
