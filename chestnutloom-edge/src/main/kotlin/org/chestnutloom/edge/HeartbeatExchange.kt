package org.chestnutloom.edge

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.crash.RequestQuarantine
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

/** Builds the heartbeats of this gateway and applies those of other gateways. */
internal class HeartbeatExchange(
    private val self: Member,
    private val configurations: ConfigurationHolder,
    private val targets: TargetDirectory,
    private val scheduler: TargetScheduler,
    private val storeHealth: StoreHealth,
    private val quarantine: RequestQuarantine,
    clock: Clock,
    private val scope: CoroutineScope,
) : FleetHeartbeatSource,
    FleetListener,
    UsageReporter {
    val quotas: AccountQuotas = AccountQuotas(clock, this)

    // Set after construction: the fleet is created with this object, and the turns and the registry need the fleet.
    lateinit var fleet: Fleet

    lateinit var turns: TurnStore

    lateinit var links: PeerLinks

    lateinit var memberRegistry: MemberRegistry

    override val fleetSize: Int
        get() = fleet.size

    override val isIsolated: Boolean
        get() = fleet.isIsolated && !storeHealth.hasRecentResponse

    override fun reportSoon() {
        fleet.sendHeartbeatSoon()
    }

    override fun current(sequence: Long): FleetHeartbeat =
        FleetHeartbeat(
            gateway = self.gateway,
            incarnation = self.incarnation,
            sequence = sequence,
            configurationVersion = configurations.current?.version ?: 0,
            reachesStore = storeHealth.hasRecentResponse && !storeHealth.isFailing,
            turnsToWrite = turns.pendingWriteCount,
            accountUsage = quotas.report(),
            loads = targets.all.filter { it.inFlight > 0 }.map { TargetLoad(it.entry.id, it.inFlight) },
            crashes = quarantine.reports,
        )

    override fun heartbeatReceived(
        peer: Peer,
        heartbeat: FleetHeartbeat,
    ) {
        quotas.recordPeerUsage(heartbeat)
        quarantine.merge(heartbeat.crashes)
        updateLoads()
    }

    override fun peerUnresponsive(peer: Peer) {
        quotas.peerUnresponsive(peer.member.gateway, fleet.size)
        updateLoads()
    }

    override fun peerFailed(peer: Peer) {
        if (storeHealth.isFailing) return
        scope.launch { memberRegistry.remove(peer.member, peer.registered.rowVersion) }
    }

    override fun selfUnregistered() {
        scope.launch { memberRegistry.register() }
    }

    override fun peerUnregistered(id: GatewayId) {
        quotas.peerUnregistered(id)
        links.close(id)
        updateLoads()
    }

    private fun updateLoads() {
        val loads = HashMap<TargetId, Int>()
        for (peer in fleet.peers) {
            if (peer.isUnresponsive) continue
            peer.lastHeartbeat?.loads?.forEach { loads.merge(it.target, it.requests, Int::plus) }
        }
        targets.all.forEach { it.peerInFlight = loads[it.entry.id] ?: 0 }
        scheduler.dispatch()
    }
}
