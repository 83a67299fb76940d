package org.chestnutloom.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.lease.LeaseState
import org.chestnutloom.rate.RightsHolder
import org.chestnutloom.store.Row
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmList
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerLink
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** Holds the state of the fleet from the VM list, the lease rows and the drain rows, each as last read. */
internal class FleetDirectory(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val vms: VmList,
    private val scope: CoroutineScope,
    private val linkFactory: (PeerAddress, String) -> PeerLink,
) : PeerDirectory,
    TargetDirectory {
    private val links = mutableMapOf<GatewayId, PeerLink>()

    @Volatile
    private var listed: List<VmEntry> = emptyList()

    @Volatile
    private var drained: Set<String> = emptySet()

    /** The lease rows of all gateways by id, including this one. */
    @Volatile
    var leases: Map<GatewayId, LeaseRow> = emptyMap()
        private set

    /** When the last read of the lease rows was sent, or null before the first one. */
    @Volatile
    var leasesReadAt: Duration? = null
        private set

    /** Whether the VM list contains this gateway, so that other gateways can find it. */
    val isListed: Boolean
        get() = listed.any { it.role == VmRole.GATEWAY && it.id == settings.id.value }

    override fun all(): Map<GatewayId, PeerLink> = addresses().mapValues { (id, address) -> linkTo(id, address) }

    override fun targets(): List<VmEntry> =
        listed
            .filter { it.role == VmRole.TARGET }
            .map { if (it.id in drained) it.copy(state = VmState.LEAVING) else it }

    /** Returns the link to gateway [id], or null if its address is unknown. */
    fun link(id: GatewayId): PeerLink? = addresses()[id]?.let { linkTo(id, it) }

    /** Reads the VM list; after a failure the previous list stays in use. */
    suspend fun readVmList() {
        vms.read().fold(
            { logger.warnEvent("vm_list_unavailable", "detail" to it) },
            { listed = it },
        )
    }

    /** Records the lease rows returned by a read that was sent at [startedAt]. */
    fun observeLeases(
        rows: List<Row>,
        startedAt: Duration,
    ) {
        val now = clock.elapsed()
        val known = leases
        leases = rows.mapNotNull { leaseRow(it, known, now) }.associateBy { it.record.id }
        leasesReadAt = startedAt
    }

    /** Records the ids of the targets that operators are draining. */
    fun observeDrains(targetIds: Set<String>) {
        drained = targetIds
    }

    /** Returns whether the lease of [holder] has ended; [holder] must have been read before the lease rows. */
    fun hasLeaseEnded(holder: RightsHolder): Boolean {
        val record = leases[holder.gateway]?.record ?: return false
        return record.incarnation != holder.incarnation || record.state == LeaseState.FENCED
    }

    /** Returns the other active gateways whose lease row has changed within [RECENT_RENEWALS] renewal intervals. */
    fun livePeers(): Set<GatewayId> {
        val now = clock.elapsed()
        val recent = settings.renewInterval * RECENT_RENEWALS
        return leases.values
            .filter { it.record.id != settings.id && it.record.state == LeaseState.ACTIVE }
            .filter { now - it.changedAt <= recent }
            .map { it.record.id }
            .toSet()
    }

    private fun leaseRow(
        row: Row,
        known: Map<GatewayId, LeaseRow>,
        now: Duration,
    ): LeaseRow? {
        val record = row.decodeOrNull<LeaseRecord>() ?: return null
        val before = known[record.id]?.takeIf { it.row.version == row.version }
        return before ?: LeaseRow(row, record, now)
    }

    private fun addresses(): Map<GatewayId, PeerAddress> {
        val fromList =
            listed
                .filter { it.role == VmRole.GATEWAY }
                .associate { GatewayId(it.id) to PeerAddress(it.host, it.port) }
        val fromLeases =
            leases.values
                .map { it.record }
                .filter { it.state != LeaseState.FENCED }
                .associate { it.id to PeerAddress(it.host, it.port) }
        return fromList + fromLeases - settings.id
    }

    private fun linkTo(
        id: GatewayId,
        address: PeerAddress,
    ): PeerLink =
        synchronized(links) {
            val old = links[id]
            if (old != null && old.address == address) return old
            if (old != null) scope.launch { old.close() }
            linkFactory(address, id.value).also { links[id] = it }
        }

    private companion object {
        const val RECENT_RENEWALS = 3
    }
}
