package org.chestnutloom.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.lease.LeaseFailure
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.NoticeRights
import org.chestnutloom.wire.message.NoticeVersions
import org.chestnutloom.wire.message.ProbeStore
import org.chestnutloom.wire.message.RequestRights
import org.chestnutloom.wire.message.StoreStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Runs the periodic work of the control plane's parts, and their orderly start and stop. */
internal class GatewayControlPlane(
    private val config: GatewaySettings,
    private val metrics: MeterRegistry,
    private val scope: CoroutineScope,
    private val ownAddress: OwnAddress,
    private val parts: ControlParts,
) : ControlPlane {
    private val jobs = mutableListOf<Job>()
    private val fleetReads = Mutex()

    @Volatile
    private var isStopping = false

    override val keys: KeyDirectory = parts.keys
    override val settings: SettingsSource = parts.documents
    override val proof: FreshnessProof = parts.proof
    override val admission: AdmissionControl = parts.rates
    override val ownership: OwnershipTable = parts.slotKeeper
    override val journal: Journal = parts.journal
    override val peers: PeerDirectory = parts.fleet
    override val targets: TargetDirectory = parts.fleet

    override val isReady: Boolean
        get() = parts.lease.record != null && settings.current.value != null && !isStopping

    override suspend fun start(ownLinkAddress: PeerAddress) {
        ownAddress.set(ownLinkAddress)
        ControlMetrics.register(metrics, parts)
        parts.fleet.readVmList()
        acquireLease()
        repeatEach(Duration.ZERO) { renewWhenDue() }
        repeatEach(defectPause) { parts.journal.run() }
        repeatEach(config.pollInterval) { parts.head.poll() }
        repeatEach(config.pollInterval) { parts.prober.probe() }
        repeatEach(config.renewInterval) { watchFleet() }
        repeatEach(vmListInterval) { parts.fleet.readVmList() }
        repeatEach(rightsInterval) { parts.rates.maintain() }
    }

    override suspend fun stopGracefully() {
        isStopping = true
        parts.slotKeeper.stopClaiming()
        withTimeoutOrNull(config.stopTimeout) {
            renew { it.copy(state = LeaseState.LEAVING) }
            while (parts.journal.pendingCount > 0) delay(flushCheckInterval)
            parts.rates.releaseAll()
            parts.slotKeeper.releaseAll()
            renew { it.copy(state = LeaseState.FENCED) }
            parts.tellPeers()
        }
        jobs.forEach { it.cancel() }
        logger.event("control_stopped", "changes_not_durable" to parts.journal.pendingCount)
    }

    override fun heartbeat(): Heartbeat =
        Heartbeat(
            sequence = 0,
            proofAgeMs = proof.ageMs(),
            configVersion = parts.head.configVersion,
            keyVersion = parts.head.keyVersion,
        )

    override fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply>? =
        when (request) {
            is ProbeStore -> flowOf(storeView())
            is RequestRights -> flow { emit(parts.rates.lend(GatewayId(peer.id), request)) }
            is NoticeRights -> flow { emit(given(request)) }
            is NoticeVersions -> flow { emit(noticed(request)) }
            else -> null
        }

    private fun storeView(): StoreStatus =
        StoreStatus(parts.proof.lastReadAgeMs(), parts.head.configVersion, parts.head.keyVersion)

    private suspend fun noticed(notice: NoticeVersions): LinkReply {
        parts.head.noticed(notice)
        watchFleet()
        return Done
    }

    private suspend fun given(notice: NoticeRights): LinkReply {
        parts.rates.refresh(notice.account)
        return Done
    }

    private suspend fun renewWhenDue() {
        withTimeoutOrNull(config.renewInterval / 2) { parts.renewals.receive() }
        if (parts.lease.record == null && !isStopping) acquireLease() else renew { it }
    }

    private suspend fun renew(change: (LeaseRecord) -> LeaseRecord) {
        val result = parts.lease.write { change(withVersions(it)) }
        val failure = result.leftOrNull() ?: return
        logger.warnEvent("lease_not_renewed", "cause" to failure)
        if (failure is LeaseFailure.NotHeld) dropAll()
    }

    private suspend fun acquireLease() {
        dropAll()
        parts.lease.acquire { ownAddress.applyTo(withVersions(it)) }.fold(
            { logger.warnEvent("lease_not_acquired", "cause" to it) },
            {
                parts.proof.leaseAcquired()
                logger.event("lease_acquired", "incarnation" to it.incarnation)
            },
        )
    }

    /** Forgets what was held under a lease that is over. */
    private fun dropAll() {
        parts.journal.reset()
        parts.rates.reset()
    }

    private fun withVersions(record: LeaseRecord): LeaseRecord =
        record.copy(configVersion = parts.head.configVersion, keyVersion = parts.head.keyVersion)

    private suspend fun watchFleet() {
        fleetReads.withLock {
            if (!parts.watcher.observe() || isStopping) return
            parts.slotKeeper.claimFree()
            if (parts.slotKeeper.handOver(parts.journal::hasPending)) scope.launch { parts.tellPeers() }
        }
    }

    private fun repeatEach(
        interval: Duration,
        work: suspend () -> Unit,
    ) {
        jobs +=
            scope.launch {
                while (true) {
                    guarded(work)
                    delay(interval)
                }
            }
    }

    /** Keeps the periodic work going after a defect in one round of it. */
    private suspend fun guarded(work: suspend () -> Unit) {
        try {
            work()
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.warnEvent("control_defect", "cause" to exception)
        }
    }

    private companion object {
        val vmListInterval = 1.seconds
        val rightsInterval = 1.seconds
        val defectPause = 100.milliseconds
        val flushCheckInterval = 10.milliseconds
    }
}
