package org.chestnutloom.edge

import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.fleet.BeatSource
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.fleet.FleetBeat
import org.chestnutloom.edge.fleet.FleetListener
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.edge.fleet.Peer
import org.chestnutloom.edge.fleet.TargetLoad
import org.chestnutloom.edge.quota.AccountQuotas
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetScheduler
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.TargetId

/** Tells other gateways what this one does, and takes over what they tell. */
internal class BeatExchange(
    private val self: Member,
    private val configurations: ConfigurationHolder,
    private val quotas: AccountQuotas,
    private val targets: TargetDirectory,
    private val scheduler: TargetScheduler,
) : BeatSource,
    FleetListener {
    /** The fleet whose beats are exchanged. */
    lateinit var fleet: Fleet

    override fun current(sequence: Long): FleetBeat =
        FleetBeat(
            gateway = self.gateway,
            incarnation = self.incarnation,
            sequence = sequence,
            configurationVersion = configurations.current?.version ?: 0,
            unsavedTurns = 0,
            used = quotas.used,
            loads = targets.all.filter { it.inFlight > 0 }.map { TargetLoad(it.entry.id, it.inFlight) },
            crashes = emptyList(),
        )

    override fun beatArrived(
        peer: Peer,
        beat: FleetBeat,
    ) {
        quotas.peerReported(beat)
        updateLoads()
    }

    override fun peerSilent(peer: Peer) {
        quotas.peerSilent(peer.member.gateway, fleet.size)
        updateLoads()
    }

    override fun peerGone(id: GatewayId) {
        quotas.peerGone(id)
        updateLoads()
    }

    private fun updateLoads() {
        val loads = HashMap<TargetId, Int>()
        for (peer in fleet.peers) {
            if (peer.isSilent) continue
            peer.lastBeat?.loads?.forEach { loads.merge(it.target, it.requests, Int::plus) }
        }
        targets.all.forEach { it.peersInFlight = loads[it.entry.id] ?: 0 }
        scheduler.dispatch()
    }
}
