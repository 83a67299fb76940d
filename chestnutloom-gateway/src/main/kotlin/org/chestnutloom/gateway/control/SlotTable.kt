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

/** What this gateway knows of all slots, and which of them it owns. */
internal class SlotTable(
    private val settings: GatewaySettings,
    private val clock: Clock,
    private val lease: GatewayLease,
    private val fleet: FleetDirectory,
) {
    private val views = AtomicReferenceArray<SlotView?>(settings.slots)
    private val activeRequests = AtomicIntegerArray(settings.slots)
    private val closing = AtomicReferenceArray<Boolean?>(settings.slots)
    private val keys = (0 until settings.slots).associateBy { SlotRecord.rowKey(settings.environment, it) }

    val indices: IntRange = 0 until settings.slots

    fun view(slot: Int): SlotView? = views[slot]

    /** Takes note of [rows] as the whole set of slot rows. */
    fun observeAll(rows: List<Row>) {
        val byKey = rows.associateBy { it.key }
        keys.forEach { (key, slot) -> observe(slot, byKey[key]) }
    }

    /** Takes note of those of [rows] that are slot rows. */
    fun observeSome(rows: List<Row>) {
        rows.forEach { row -> keys[row.key]?.let { observe(it, row) } }
    }

    /** Takes note of the row of [slot], or that there is none; an older version than the known one is ignored. */
    fun observe(
        slot: Int,
        row: Row?,
    ) {
        val version = row?.version ?: Condition.ABSENT
        val view = SlotView(row?.decodeOrNull<SlotRecord>(), version, clock.elapsed())
        views.updateAndGet(slot) { old -> if (old == null || version >= old.version) view else old }
    }

    /** Returns the epoch under which this gateway owns [slot], or null when it does not or is handing it over. */
    fun ownEpoch(slot: Int): Long? = if (closing[slot] == true) null else heldEpoch(slot)

    /** Returns the epoch under which this gateway owns [slot], also while it is handing the slot over. */
    fun heldEpoch(slot: Int): Long? = views[slot]?.record?.takeIf { isMine(it) }?.epoch

    /** Returns the requirement that [slot]'s row is as it was when this gateway took the slot. */
    fun ownershipCondition(slot: Int): Condition =
        Condition(SlotRecord.rowKey(settings.environment, slot), views[slot]?.version ?: Condition.ABSENT)

    /** Tells whether nobody may act as owner of [slot] any more, so that this gateway may take it. */
    fun isFree(slot: Int): Boolean {
        val view = views[slot] ?: return false
        val record = view.record ?: return true
        val owner = record.owner ?: return true
        val incarnation = record.incarnation ?: return true
        if (owner == settings.id) return incarnation != lease.record?.incarnation
        val leasesReadAt = fleet.leasesReadAt ?: return false
        return leasesReadAt >= view.readAt && fleet.isGone(RightsHolder(owner, incarnation))
    }

    fun enter(slot: Int) {
        activeRequests.incrementAndGet(slot)
    }

    fun leave(slot: Int) {
        activeRequests.decrementAndGet(slot)
    }

    /** Stops new requests on [slot]; returns false, and changes nothing, while requests are under way. */
    fun close(slot: Int): Boolean {
        closing[slot] = true
        if (activeRequests[slot] == 0) return true
        closing[slot] = false
        return false
    }

    fun reopen(slot: Int) {
        closing[slot] = false
    }

    fun ownedSlots(): List<Int> = indices.filter { heldEpoch(it) != null }

    private fun isMine(record: SlotRecord): Boolean {
        val incarnation: Incarnation = lease.record?.incarnation ?: return false
        return record.owner == settings.id && record.incarnation == incarnation
    }
}
