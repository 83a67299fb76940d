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

/** Starts and stops the components of the control plane and runs their periodic work. */
internal class GatewayControlPlane(
    private val config: GatewaySettings,
    private val metrics: MeterRegistry,
    private val scope: CoroutineScope,
    private val ownAddress: OwnAddress,
    private val components: ControlComponents,
) : ControlPlane {
    private val jobs = mutableListOf<Job>()
    private val fleetReadMutex = Mutex()

    @Volatile
    private var isStopping = false

    override val keys: KeyDirectory = components.keys
    override val settings: SettingsSource = components.settingsLoader
    override val proof: FreshnessProof = components.proof
    override val admission: AdmissionControl = components.rates
    override val ownership: OwnershipTable = components.slotManager
    override val journal: Journal = components.journal
    override val peers: PeerDirectory = components.fleet
    override val targets: TargetDirectory = components.fleet

    override val isReady: Boolean
        get() = components.lease.record != null && settings.current.value != null && !isStopping

    override suspend fun start(ownLinkAddress: PeerAddress) {
        ownAddress.set(ownLinkAddress)
        ControlMetrics.register(metrics, components)
        components.fleet.readVmList()
        acquireLease()
        repeatEach(Duration.ZERO) { renewWhenDue() }
        repeatEach(journalRestartDelay) { components.journal.run() }
        repeatEach(config.pollInterval) { components.head.poll() }
        repeatEach(config.pollInterval) { components.prober.probe() }
        repeatEach(config.renewInterval) { observeFleet() }
        repeatEach(vmListInterval) { components.fleet.readVmList() }
        repeatEach(rightsInterval) { components.rates.maintain() }
    }

    override suspend fun stopGracefully() {
        isStopping = true
        components.slotManager.stopClaiming()
        withTimeoutOrNull(config.stopTimeout) {
            renew { it.copy(state = LeaseState.LEAVING) }
            while (components.journal.pendingCount > 0) delay(flushCheckInterval)
            components.rates.releaseAll()
            components.slotManager.releaseAll()
            renew { it.copy(state = LeaseState.FENCED) }
            components.notifyPeers()
        }
        jobs.forEach { it.cancel() }
        logger.event("control_stopped", "changes_not_durable" to components.journal.pendingCount)
    }

    override fun heartbeat(): Heartbeat =
        Heartbeat(
            sequence = 0,
            proofAgeMs = proof.ageMs(),
            configVersion = components.head.configVersion,
            keyVersion = components.head.keyVersion,
        )

    override fun handle(
        peer: PeerIdentity,
        request: LinkRequest,
    ): Flow<LinkReply>? =
        when (request) {
            is ProbeStore -> flowOf(storeStatus())
            is RequestRights -> flow { emit(components.rates.lend(GatewayId(peer.id), request)) }
            is NoticeRights -> flow { emit(handleRightsNotice(request)) }
            is NoticeVersions -> flow { emit(handleVersionsNotice(request)) }
            else -> null
        }

    private fun storeStatus(): StoreStatus =
        StoreStatus(components.proof.lastReadAgeMs(), components.head.configVersion, components.head.keyVersion)

    private suspend fun handleVersionsNotice(notice: NoticeVersions): LinkReply {
        components.head.onNotice(notice)
        observeFleet()
        return Done
    }

    private suspend fun handleRightsNotice(notice: NoticeRights): LinkReply {
        components.rates.refresh(notice.account)
        return Done
    }

    private suspend fun renewWhenDue() {
        withTimeoutOrNull(config.renewInterval / 2) { components.renewalRequests.receive() }
        if (components.lease.record == null && !isStopping) acquireLease() else renew { it }
    }

    private suspend fun renew(change: (LeaseRecord) -> LeaseRecord) {
        val result = components.lease.write { change(withVersions(it)) }
        val failure = result.leftOrNull() ?: return
        logger.warnEvent("lease_not_renewed", "cause" to failure)
        if (failure is LeaseFailure.NotHeld) discardLeaseState()
    }

    private suspend fun acquireLease() {
        discardLeaseState()
        components.lease.acquire { ownAddress.applyTo(withVersions(it)) }.fold(
            { logger.warnEvent("lease_not_acquired", "cause" to it) },
            {
                components.proof.leaseAcquired()
                logger.event("lease_acquired", "incarnation" to it.incarnation)
            },
        )
    }

    /** Discards the state that depends on the previous lease. */
    private fun discardLeaseState() {
        components.journal.reset()
        components.rates.reset()
    }

    private fun withVersions(record: LeaseRecord): LeaseRecord =
        record.copy(configVersion = components.head.configVersion, keyVersion = components.head.keyVersion)

    private suspend fun observeFleet() {
        fleetReadMutex.withLock {
            if (!components.watcher.observe() || isStopping) return
            components.slotManager.claimFree()
            if (components.slotManager.handOver(components.journal::hasPending)) {
                scope.launch { components.notifyPeers() }
            }
        }
    }

    private fun repeatEach(
        interval: Duration,
        work: suspend () -> Unit,
    ) {
        jobs +=
            scope.launch {
                while (true) {
                    runLoggingErrors(work)
                    delay(interval)
                }
            }
    }

    /** Logs exceptions of [work] so that a failed run does not end the periodic work. */
    private suspend fun runLoggingErrors(work: suspend () -> Unit) {
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
        val journalRestartDelay = 100.milliseconds
        val flushCheckInterval = 10.milliseconds
    }
}
