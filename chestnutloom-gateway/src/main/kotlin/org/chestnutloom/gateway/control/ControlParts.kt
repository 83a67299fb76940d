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

/** Builds and holds the parts of one control plane, which share one lease. */
internal class ControlParts(
    val settings: GatewaySettings,
    incarnation: Incarnation,
    clock: Clock,
    scope: CoroutineScope,
    platform: ControlPlatform,
) {
    /** Asks for a lease renewal before the renewal interval is over. */
    val renewals = Channel<Unit>(Channel.CONFLATED)

    val lease =
        gatewayLease(
            platform.table,
            clock,
            LeaseOptions(
                environment = settings.environment,
                isFencingEnabled = settings.mechanisms.has(Mechanism.OWNER_FENCING),
            ),
            LeaseRecord(settings.id, incarnation, settings.link.host, settings.link.port, settings.failureDomain),
            scope,
        )
    val proof = ProofKeeper(settings, clock, lease)
    val fleet = FleetDirectory(settings, clock, platform.vms, scope, platform.linkFactory)
    val slots = SlotTable(settings, clock, lease, fleet)
    val slotKeeper = SlotKeeper(settings, clock, lease, proof, fleet, platform.table, slots)
    val watcher = FleetWatcher(settings, clock, lease, proof, fleet, platform.table, slots)
    val documents = SettingsKeeper(settings, platform.table, platform.decoder)
    val keys = KeyCache(settings, clock, platform.table, proof, documents)
    private val notifier = PeerNotifier(settings, fleet)
    val head: HeadWatcher =
        HeadWatcher(
            settings,
            clock,
            platform.table,
            lease,
            proof,
            documents,
            keys,
            onNewVersions = { scope.launch { tellPeers() } },
            onUnacknowledged = { renewals.trySend(Unit) },
        )
    val prober = OutageProber(settings, clock, proof, fleet, head)
    private val segments = SegmentStore(settings, platform.objects)
    val journal =
        GroupJournal(settings, platform.table, segments, GroupCommitter(settings, lease, segments, slots), slots)
    private val limits = AccountLimits(documents)
    private val rights = RightsTable(settings, lease, platform.table, fleet)
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

    /** Tells the other gateways to read the rows that changed. */
    suspend fun tellPeers() {
        notifier.tellAll(NoticeVersions(head.configVersion, head.keyVersion))
    }
}
