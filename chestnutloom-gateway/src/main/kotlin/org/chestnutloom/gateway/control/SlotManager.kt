package org.chestnutloom.gateway.control

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Refusal
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ProgramId
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.lease.LeaseFailure
import org.chestnutloom.membership.SlotRecord
import org.chestnutloom.membership.preferredOwner
import org.chestnutloom.membership.slotOf
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.rowJson
import org.chestnutloom.time.Clock
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Claims free slots, hands idle ones over to their preferred owners, and locates the owner of a program. */
internal class SlotManager(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val lease: GatewayLease,
    private val proof: FreshnessProof,
    private val fleet: FleetDirectory,
    private val table: TableStore,
    private val slots: SlotTable,
) : OwnershipTable {
    private val claimMutex = Mutex()

    @Volatile
    private var isStopping = false

    override suspend fun locate(program: ProgramId): ProgramLocation {
        proof.check().onLeft { return ProgramLocation.Unavailable(it) }
        val slot = slotOf(program, settings.slots)
        if (needsRefresh(slot)) refresh(slot).onLeft { return ProgramLocation.Unavailable(it) }
        if (slots.isFree(slot) && !isStopping) claim(listOf(slot))
        return locationOf(slot)
    }

    override suspend fun refreshAndLocate(program: ProgramId): ProgramLocation {
        refresh(slotOf(program, settings.slots))
        return locate(program)
    }

    override fun beginRequest(program: ProgramId) {
        slots.beginRequest(slotOf(program, settings.slots))
    }

    override fun endRequest(program: ProgramId) {
        slots.endRequest(slotOf(program, settings.slots))
    }

    /** Claims the unowned slots whose preferred owner is this gateway, and all slots whose owner's lease has ended. */
    suspend fun claimFree() {
        if (isStopping || lease.record == null) return
        val members = fleet.livePeers() + settings.id
        val wanted = slots.indices.filter { slots.isFree(it) && shouldClaim(it, members) }
        if (wanted.isNotEmpty()) claim(wanted)
    }

    /**
     * Hands slots without in-flight requests to their preferred owners, and returns whether any were handed over.
     *
     * [hasPending] returns whether a slot has changes that are not yet durable; such a slot is kept.
     */
    suspend fun handOver(hasPending: (Int) -> Boolean): Boolean {
        val members = fleet.livePeers() + settings.id
        val moves =
            slots
                .ownedSlots()
                .associateWith { preferredOwner(it, members) }
                .filterValues { it != null && it != settings.id }
        return moves.isNotEmpty() && transfer(moves, hasPending)
    }

    /** Releases all slots in a graceful shutdown, so that other gateways can claim them immediately. */
    suspend fun releaseAll() {
        isStopping = true
        val owned = slots.ownedSlots()
        transfer(owned.associateWith { null }) { false }
    }

    /** Stops this gateway from claiming slots. */
    fun stopClaiming() {
        isStopping = true
    }

    private fun shouldClaim(
        slot: Int,
        members: Set<GatewayId>,
    ): Boolean {
        val hadOwner = slots.view(slot)?.record?.owner != null
        return hadOwner || preferredOwner(slot, members) == settings.id
    }

    private fun locationOf(slot: Int): ProgramLocation {
        slots.servingEpoch(slot)?.let { return ProgramLocation.Local(it) }
        val owner = slots.view(slot)?.record?.owner
        val link = if (owner == null || owner == settings.id) null else fleet.link(owner)
        if (link != null) return ProgramLocation.Remote(link)
        return ProgramLocation.Unavailable(ControlRefusals.stale("The program currently has no reachable owner."))
    }

    /** Returns whether the slot's row was never read, or is old and may now name this gateway as owner. */
    private fun needsRefresh(slot: Int): Boolean {
        val view = slots.view(slot) ?: return true
        if (slots.servingEpoch(slot) != null) return false
        val isOld = clock.elapsed() - view.readAt > minReadInterval
        return isOld && preferredOwner(slot, fleet.livePeers() + settings.id) == settings.id
    }

    private suspend fun refresh(slot: Int): Either<Refusal, Unit> =
        table
            .read(listOf(SlotRecord.rowKey(settings.environment, slot)))
            .map { slots.observe(slot, it.firstOrNull()) }
            .mapLeft { ControlRefusals.storeUnavailable("The program's owner cannot be read from the store.") }

    private suspend fun claim(wanted: List<Int>) {
        claimMutex.withLock {
            val free = wanted.filter { slots.isFree(it) }
            val incarnation = lease.record?.incarnation
            if (free.isEmpty() || incarnation == null) return
            val result = writeOwners(free.associateWith { SlotOwner(settings.id, incarnation) })
            result.onRight { logger.event("slots_claimed", "slots" to free.size, "first" to free.first()) }
        }
    }

    private suspend fun transfer(
        moves: Map<Int, GatewayId?>,
        hasPending: (Int) -> Boolean,
    ): Boolean =
        claimMutex.withLock {
            val idle = moves.filterKeys { slots.beginHandover(it) }
            val ready = idle.filterKeys { !hasPending(it) }
            (idle - ready.keys).keys.forEach(slots::endHandover)
            val owners = ready.mapValues { (_, to) -> to?.let(::ownerOf) }
            val isTransferred = owners.isNotEmpty() && writeOwners(owners).isRight()
            ready.keys.forEach(slots::endHandover)
            if (isTransferred) logger.event("slots_handed_over", "slots" to owners.size)
            isTransferred
        }

    private fun ownerOf(id: GatewayId): SlotOwner? = fleet.leases[id]?.let { SlotOwner(id, it.record.incarnation) }

    private suspend fun writeOwners(owners: Map<Int, SlotOwner?>): Either<LeaseFailure, List<Row>> {
        val views = owners.keys.associateWith { slots.view(it) }
        val conditions = views.map { (slot, view) -> Condition(rowKey(slot), view?.version ?: Condition.ABSENT) }
        val writes =
            owners.map { (slot, owner) ->
                val epoch = (views[slot]?.record?.epoch ?: 0) + 1
                val record = SlotRecord(owner?.id, owner?.incarnation, epoch)
                RowWrite(rowKey(slot), rowJson.encodeToString(record))
            }
        val result = lease.write(conditions, writes)
        result.onRight(slots::observeSlotRows)
        result.onLeft { failure ->
            if (failure is LeaseFailure.Conflict) slots.observeSlotRows(failure.current)
            logger.warnEvent("slots_not_written", "slots" to owners.size, "cause" to failure)
        }
        return result
    }

    private fun rowKey(slot: Int): String = SlotRecord.rowKey(settings.environment, slot)

    private data class SlotOwner(
        val id: GatewayId,
        val incarnation: Incarnation,
    )

    private companion object {
        val minReadInterval = 100.milliseconds
    }
}
