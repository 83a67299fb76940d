package org.chestnutloom.edge

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.crash.CrashGuard
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.fleet.FleetHeartbeat
import org.chestnutloom.edge.fleet.FleetHeartbeatSource
import org.chestnutloom.edge.fleet.FleetListener
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.edge.fleet.MemberRegistry
import org.chestnutloom.edge.fleet.Peer
import org.chestnutloom.edge.fleet.PeerLinks
import org.chestnutloom.edge.fleet.TargetLoad
import org.chestnutloom.edge.quota.AccountQuotas
import org.chestnutloom.edge.quota.UsageReporter
import org.chestnutloom.edge.store.StoreHealth
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetScheduler
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.TargetId
import org.chestnutloom.time.Clock

/** Tells other gateways what this one does, and takes over what they tell. */
internal class BeatExchange(
    private val self: Member,
    private val configurations: ConfigurationHolder,
    private val targets: TargetDirectory,
    private val scheduler: TargetScheduler,
    private val contact: StoreHealth,
    private val crashes: CrashGuard,
    clock: Clock,
    private val scope: CoroutineScope,
) : FleetHeartbeatSource,
    FleetListener,
    UsageReporter {
    /** What client accounts may send. */
    val quotas: AccountQuotas = AccountQuotas(clock, this)

    /** The fleet whose beats are exchanged. */
    lateinit var fleet: Fleet

    /** The turns that are kept here. */
    lateinit var turns: TurnStore

    /** The links to other gateways. */
    lateinit var links: PeerLinks

    /** The rows of the fleet. */
    lateinit var registration: MemberRegistry

    override val fleetSize: Int
        get() = fleet.size

    override val isIsolated: Boolean
        get() = fleet.isIsolated && !contact.hasRecentAnswer

    override fun reportSoon() {
        fleet.sendHeartbeatSoon()
    }

    override fun current(sequence: Long): FleetHeartbeat =
        FleetHeartbeat(
            gateway = self.gateway,
            incarnation = self.incarnation,
            sequence = sequence,
            configurationVersion = configurations.current?.version ?: 0,
            reachesStore = contact.hasRecentAnswer && !contact.isFailing,
            turnsToWrite = turns.toWriteCount,
            accountUsage = quotas.report(),
            loads = targets.all.filter { it.inFlight > 0 }.map { TargetLoad(it.entry.id, it.inFlight) },
            crashes = crashes.marks,
        )

    override fun heartbeatReceived(
        peer: Peer,
        beat: FleetHeartbeat,
    ) {
        quotas.recordPeerUsage(beat)
        crashes.learn(beat.crashes)
        updateLoads()
    }

    override fun peerSilent(peer: Peer) {
        quotas.peerSilent(peer.member.gateway, fleet.size)
        updateLoads()
    }

    override fun peerLost(peer: Peer) {
        if (contact.isFailing) return
        scope.launch { registration.remove(peer.member, peer.registered.rowVersion) }
    }

    override fun selfUnregistered() {
        scope.launch { registration.register() }
    }

    override fun peerUnregistered(id: GatewayId) {
        quotas.peerUnregistered(id)
        links.close(id)
        updateLoads()
    }

    private fun updateLoads() {
        val loads = HashMap<TargetId, Int>()
        for (peer in fleet.peers) {
            if (peer.isSilent) continue
            peer.lastHeartbeat?.loads?.forEach { loads.merge(it.target, it.requests, Int::plus) }
        }
        targets.all.forEach { it.peersInFlight = loads[it.entry.id] ?: 0 }
        scheduler.dispatch()
    }
}
