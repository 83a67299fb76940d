package org.chestnutloom.gateway.control

import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.Incarnation
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.membership.SlotRecord
import org.chestnutloom.rate.RightsHolder
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.decodeOrNull
import org.chestnutloom.time.Clock
import java.util.concurrent.atomic.AtomicIntegerArray
import java.util.concurrent.atomic.AtomicReferenceArray

/** The last known rows of all slots, and which slots this gateway owns. */
internal class SlotTable(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val lease: GatewayLease,
    private val fleet: FleetDirectory,
) {
    private val views = AtomicReferenceArray<SlotView?>(settings.slots)
    private val inFlightRequests = AtomicIntegerArray(settings.slots)
    private val handingOver = AtomicReferenceArray<Boolean?>(settings.slots)
    private val keys = (0 until settings.slots).associateBy { SlotRecord.rowKey(settings.environment, it) }

    val indices: IntRange = 0 until settings.slots

    fun view(slot: Int): SlotView? = views[slot]

    /** Replaces the known slot rows by [rows], the complete set. */
    fun observeAll(rows: List<Row>) {
        val byKey = rows.associateBy { it.key }
        keys.forEach { (key, slot) -> observe(slot, byKey[key]) }
    }

    /** Records those of [rows] that are slot rows. */
    fun observeSlotRows(rows: List<Row>) {
        rows.forEach { row -> keys[row.key]?.let { observe(it, row) } }
    }

    /** Records the row of [slot], or its absence; a version older than the known one is ignored. */
    fun observe(
        slot: Int,
        row: Row?,
    ) {
        val version = row?.version ?: Condition.ABSENT
        val view = SlotView(row?.decodeOrNull<SlotRecord>(), version, clock.elapsed())
        views.updateAndGet(slot) { old -> if (old == null || version >= old.version) view else old }
    }

    /** Returns the ownership epoch of [slot], or null if this gateway does not own it or is handing it over. */
    fun servingEpoch(slot: Int): Long? = if (handingOver[slot] == true) null else ownedEpoch(slot)

    /** Returns the ownership epoch of [slot], also during a handover, or null if this gateway does not own it. */
    fun ownedEpoch(slot: Int): Long? = views[slot]?.record?.takeIf { isOwnedHere(it) }?.epoch

    /** Returns the condition that the row of [slot] still has the last known version. */
    fun ownershipCondition(slot: Int): Condition =
        Condition(SlotRecord.rowKey(settings.environment, slot), views[slot]?.version ?: Condition.ABSENT)

    /** Returns whether no gateway may act as the owner of [slot], so that this gateway may claim it. */
    fun isFree(slot: Int): Boolean {
        val view = views[slot] ?: return false
        val record = view.record ?: return true
        val owner = record.owner ?: return true
        val incarnation = record.incarnation ?: return true
        if (owner == settings.id) return incarnation != lease.record?.incarnation
        val leasesReadAt = fleet.leasesReadAt ?: return false
        return leasesReadAt >= view.readAt && fleet.hasLeaseEnded(RightsHolder(owner, incarnation))
    }

    fun beginRequest(slot: Int) {
        inFlightRequests.incrementAndGet(slot)
    }

    fun endRequest(slot: Int) {
        inFlightRequests.decrementAndGet(slot)
    }

    /** Blocks new requests for [slot] and returns true, or returns false without blocking if requests are in flight. */
    fun beginHandover(slot: Int): Boolean {
        handingOver[slot] = true
        if (inFlightRequests[slot] == 0) return true
        handingOver[slot] = false
        return false
    }

    fun endHandover(slot: Int) {
        handingOver[slot] = false
    }

    fun ownedSlots(): List<Int> = indices.filter { ownedEpoch(it) != null }

    private fun isOwnedHere(record: SlotRecord): Boolean {
        val incarnation: Incarnation = lease.record?.incarnation ?: return false
        return record.owner == settings.id && record.incarnation == incarnation
    }
}
