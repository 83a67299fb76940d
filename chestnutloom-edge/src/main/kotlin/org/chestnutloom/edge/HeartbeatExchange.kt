package org.chestnutloom.edge

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.edge.admission.ProgramScheduling
import org.chestnutloom.edge.crash.RequestQuarantine
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.fleet.FleetHeartbeat
import org.chestnutloom.edge.fleet.FleetHeartbeatSource
import org.chestnutloom.edge.fleet.FleetListener
import org.chestnutloom.edge.fleet.GatewayState
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.edge.fleet.MemberRegistry
import org.chestnutloom.edge.fleet.Peer
import org.chestnutloom.edge.fleet.PeerLinks
import org.chestnutloom.edge.fleet.TargetLoad
import org.chestnutloom.edge.fleet.withAnnouncedWork
import org.chestnutloom.edge.outlier.FailureReportLimit
import org.chestnutloom.edge.outlier.OutlierDetector
import org.chestnutloom.edge.quota.AccountPlacement
import org.chestnutloom.edge.quota.AccountQuotas
import org.chestnutloom.edge.quota.UsageReporter
import org.chestnutloom.edge.store.StoreHealth
import org.chestnutloom.edge.target.PeerLoads
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetScheduler
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock

/** Builds the heartbeats of this gateway and applies those of other gateways. */
internal class HeartbeatExchange(
    private val self: Member,
    private val targets: TargetDirectory,
    private val scheduler: TargetScheduler,
    private val storeHealth: StoreHealth,
    private val quarantine: RequestQuarantine,
    private val outliers: OutlierDetector,
    private val programs: ProgramScheduling?,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : FleetHeartbeatSource,
    FleetListener,
    UsageReporter,
    AccountPlacement {
    val quotas: AccountQuotas = AccountQuotas(self.gateway, this, this, clock)
    private val peerLoads = PeerLoads(targets)

    // Set after construction: the fleet is created with this object, and the registry needs the fleet.
    lateinit var fleet: Fleet

    lateinit var links: PeerLinks

    lateinit var memberRegistry: MemberRegistry

    override val isIsolated: Boolean
        get() = fleet.isIsolated && !storeHealth.hasRecentResponse

    override fun reportSoon() {
        fleet.sendHeartbeatSoon()
    }

    override fun replicasOf(account: ClientAccountId): List<GatewayId> = fleet.replicasOf(account)

    override fun isUnresponsive(gateway: GatewayId): Boolean = fleet.peer(gateway)?.isUnresponsive == true

    override fun current(
        sequence: Long,
        relayed: List<GatewayState>,
    ): FleetHeartbeat {
        val failures = outliers.reports()
        return FleetHeartbeat(
            sender =
                GatewayState(
                    gateway = self.gateway,
                    incarnation = self.incarnation,
                    sequence = sequence,
                    reachesStore = storeHealth.hasRecentResponse && !storeHealth.isFailing,
                    loads = largestLoads(),
                    failures = failures,
                    work = programs?.report(),
                ),
            relayed = FailureReportLimit.fitting(failures.size, relayed),
            accountUsage = quotas.report(),
            crashes = quarantine.nextReports(),
        ).withAnnouncedWork().withFailuresOfStates()
    }

    private fun largestLoads(): List<TargetLoad> {
        val loads = targets.all.filter { it.inFlight > 0 }.map(::loadOf)
        if (loads.size <= MAX_LOADS) return loads
        return loads.sortedByDescending { it.requests }.take(MAX_LOADS)
    }

    private fun loadOf(target: Target): TargetLoad {
        val workMs = target.work.remainingMs(clock.elapsed()).toInt()
        return TargetLoad(target.entry.id, target.inFlight, workMs.coerceAtMost(TargetLoad.MAX_WORK_MS))
    }

    override fun heartbeatReceived(
        peer: Peer,
        heartbeat: FleetHeartbeat,
    ) {
        quotas.recordPeerUsage(heartbeat)
        quarantine.merge(heartbeat.crashes)
        scheduler.dispatch()
    }

    override fun stateChanged(peer: Peer) {
        peerLoads.update(peer.member.gateway, peer.state?.loads.orEmpty())
        outliers.updatePeer(peer.member.gateway, peer.state?.failures.orEmpty())
        programs?.updatePeer(peer.member.gateway, peer.state?.work)
    }

    override fun peerUnresponsive(peer: Peer) {
        quotas.peerUnresponsive(peer.member.gateway)
        removeReports(peer.member.gateway)
    }

    override fun peerFailed(peer: Peer) {
        if (storeHealth.isFailing) return
        scope.launch { memberRegistry.remove(peer.member, peer.registered.rowVersion) }
    }

    override fun selfUnregistered() {
        scope.launch { memberRegistry.register() }
    }

    override fun peerUnregistered(id: GatewayId) {
        links.close(id)
        removeReports(id)
    }

    override fun topologyChanged() {
        quotas.place()
    }

    private fun removeReports(gateway: GatewayId) {
        peerLoads.update(gateway, emptyList())
        outliers.updatePeer(gateway, emptyList())
        programs?.updatePeer(gateway, null)
        scheduler.dispatch()
    }

    private companion object {
        /** Keeps a heartbeat well below the largest datagram, also if all relayed states have as many. */
        private const val MAX_LOADS = 32
    }
}
