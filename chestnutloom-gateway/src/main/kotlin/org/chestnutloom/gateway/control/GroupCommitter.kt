package org.chestnutloom.gateway.control

import arrow.core.getOrElse
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.ProgramId
import org.chestnutloom.lease.GatewayLease
import org.chestnutloom.lease.LeaseFailure
import org.chestnutloom.membership.SlotRecord
import org.chestnutloom.membership.slotOf
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.rowJson

/** Writes a group of changes: first their turn records as one object, then all program rows in one transaction. */
internal class GroupCommitter(
    private val settings: GatewaySettings,
    private val lease: GatewayLease,
    private val segments: SegmentStore,
    private val slots: SlotTable,
) {
    /** Commits [group]; [snapshot] returns a program's last known row, [onUnknownOutcome] is as in [GatewayLease]. */
    suspend fun commit(
        group: List<PendingChange>,
        snapshot: (ProgramId) -> ProgramSnapshot,
        onUnknownOutcome: () -> Unit,
    ): GroupCommitResult {
        val incarnation = lease.record?.incarnation ?: return GroupCommitResult.NotHeld
        val records = group.flatMap { it.change.turns.values }
        val segment =
            if (records.isEmpty()) {
                ""
            } else {
                segments
                    .put(
                        incarnation,
                        records,
                    ).getOrElse { return GroupCommitResult.StoreUnavailable(it.toString()) }
            }
        val states = newestStates(group)
        val positions = positions(group, segment)
        val before = states.keys.associateWith(snapshot)
        val after = before.mapValues { (program, old) -> old.copy(turns = old.turns + positions[program].orEmpty()) }
        val owned =
            states.keys
                .map(::slotOf)
                .distinct()
                .map(slots::ownershipCondition)
        val conditions = owned + before.map { (program, old) -> Condition(rowKey(program), old.version) }
        val writes = after.map { (program, new) -> RowWrite(rowKey(program), content(new, states.getValue(program))) }
        return lease
            .write(
                conditions,
                writes,
                onUnknownOutcome,
            ).fold({ failed(it, states.keys) }) { rows -> committed(after, rows) }
    }

    private fun newestStates(group: List<PendingChange>): Map<ProgramId, JsonElement> =
        group.fold(emptyMap()) { states, pending -> states + pending.states }

    private fun positions(
        group: List<PendingChange>,
        segment: String,
    ): Map<ProgramId, Map<Int, TurnPosition>> {
        val positions = mutableMapOf<ProgramId, MutableMap<Int, TurnPosition>>()
        var index = 0
        for (pending in group) {
            val turns = positions.getOrPut(pending.change.program) { mutableMapOf() }
            pending.change.turns.keys
                .forEach { turns[it] = TurnPosition(segment, index++) }
        }
        return positions
    }

    private fun content(
        snapshot: ProgramSnapshot,
        state: JsonElement,
    ): String =
        rowJson.encodeToString(ProgramRow(snapshot.epoch, state, snapshot.turns.mapValues { it.value.toJson() }))

    private fun failed(
        failure: LeaseFailure,
        programs: Set<ProgramId>,
    ): GroupCommitResult =
        when (failure) {
            is LeaseFailure.StoreUnavailable -> GroupCommitResult.StoreUnavailable(failure.detail)
            is LeaseFailure.Conflict ->
                GroupCommitResult.Conflict(programs.filter { isIn(it, failure.failedKeys) }.toSet())
            LeaseFailure.NotHeld -> GroupCommitResult.NotHeld
        }

    private fun isIn(
        program: ProgramId,
        failedKeys: List<String>,
    ): Boolean = rowKey(program) in failedKeys || SlotRecord.rowKey(settings.environment, slotOf(program)) in failedKeys

    private fun committed(
        after: Map<ProgramId, ProgramSnapshot>,
        rows: List<Row>,
    ): GroupCommitResult {
        val versions = rows.associate { it.key to it.version }
        return GroupCommitResult.Committed(
            after.mapValues { (program, new) -> new.copy(version = versions.getValue(rowKey(program))) },
        )
    }

    private fun rowKey(program: ProgramId): String = ProgramRow.rowKey(settings.environment, program)

    private fun slotOf(program: ProgramId): Int = slotOf(program, settings.slots)
}
