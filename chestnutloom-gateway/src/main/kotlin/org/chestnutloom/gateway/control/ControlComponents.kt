package org.chestnutloom.gateway.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.Incarnation
import org.chestnutloom.lease.LeaseOptions
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.gatewayLease
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.rate.RatePolicy
import org.chestnutloom.rate.WHOLE_SHARE_PERMILLE
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.NoticeVersions

/** Creates and holds the components of one control plane, which share one lease. */
internal class ControlComponents(
    val settings: GatewaySettings,
    incarnation: Incarnation,
    clock: Clock,
    scope: CoroutineScope,
    dependencies: ControlDependencies,
) {
    /** Requests a lease renewal before the renewal interval has elapsed. */
    val renewalRequests = Channel<Unit>(Channel.CONFLATED)

    val lease =
        gatewayLease(
            dependencies.table,
            clock,
            LeaseOptions(
                environment = settings.environment,
                isFencingEnabled = settings.mechanisms.has(Mechanism.OWNER_FENCING),
            ),
            LeaseRecord(settings.id, incarnation, settings.link.host, settings.link.port, settings.failureDomain),
            scope,
        )
    val proof = FreshnessTracker(settings, clock, lease)
    val fleet = FleetDirectory(settings, clock, dependencies.vms, scope, dependencies.linkFactory)
    val slots = SlotTable(settings, clock, lease, fleet)
    val slotManager = SlotManager(settings, clock, lease, proof, fleet, dependencies.table, slots)
    val watcher = FleetWatcher(settings, clock, lease, proof, fleet, dependencies.table, slots)
    val settingsLoader = SettingsLoader(settings, dependencies.table, dependencies.decoder)
    val keys = KeyCache(settings, clock, dependencies.table, proof, settingsLoader)
    private val notifier = PeerNotifier(settings, fleet)
    val head: HeadWatcher =
        HeadWatcher(
            settings,
            clock,
            dependencies.table,
            lease,
            proof,
            settingsLoader,
            keys,
            onNewVersions = { scope.launch { notifyPeers() } },
            onUnacknowledged = { renewalRequests.trySend(Unit) },
        )
    val prober = OutageProber(settings, clock, proof, fleet, head)
    private val segments = SegmentStore(settings, dependencies.objects)
    val journal =
        GroupCommitJournal(
            settings,
            dependencies.table,
            segments,
            GroupCommitter(settings, lease, segments, slots),
            slots,
        )
    private val limits = AccountLimits(settingsLoader)
    private val rights = RightsTable(settings, lease, dependencies.table, fleet)
    val rates: RateControl =
        when {
            !settings.mechanisms.has(Mechanism.RATE_ESCROW) -> {
                FixedShareAdmission(clock, proof, limits) { WHOLE_SHARE_PERMILLE }
            }

            settings.ratePolicy == RatePolicy.STATIC_SHARE -> {
                FixedShareAdmission(clock, proof, limits) { WHOLE_SHARE_PERMILLE / (fleet.all().size + 1) }
            }

            else -> {
                val borrower = TokenBorrower(settings, clock, fleet)
                val balancer = ShareBalancer(settings, fleet, rights, notifier)
                EscrowAdmission(settings, clock, lease, proof, limits, rights, borrower, balancer)
            }
        }

    /** Notifies the other gateways that rows in the table service have changed. */
    suspend fun notifyPeers() {
        notifier.notifyPeers(NoticeVersions(head.configVersion, head.keyVersion))
    }
}
