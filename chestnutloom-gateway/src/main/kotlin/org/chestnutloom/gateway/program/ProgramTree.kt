package org.chestnutloom.gateway.program

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex
import org.chestnutloom.call.Refusal
import org.chestnutloom.gateway.control.Durability
import org.chestnutloom.gateway.control.OwnershipTable
import org.chestnutloom.gateway.control.ProgramLocation
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.TurnRecord

/**
 * A root program and its sub-agents while this gateway works on them under one ownership.
 *
 * All members but [changes] and [epoch] are used only while [mutex] is held.
 */
internal class ProgramTree(
    val root: String,
    val epoch: Long,
    private val store: ProgramStore,
    private val ownership: OwnershipTable,
) {
    /** Guards the records and the turns under way. */
    val mutex: Mutex = Mutex()

    /** The turns under way. */
    val running: MutableMap<ProgramId, RunningTurn> = mutableMapOf()

    private val records = mutableMapOf<ProgramId, ProgramRecord>()
    private val changeCount = MutableStateFlow(0L)

    /** Grows with each change, so that requests can wait for the next one. */
    val changes: StateFlow<Long>
        get() = changeCount

    /** Returns the newest state of [program], or null when there is no such program. */
    suspend fun load(program: ProgramId): Either<Refusal, ProgramRecord?> {
        records[program]?.let { return it.right() }
        return store.load(program).onRight { if (it != null) records[program] = it }
    }

    /** Puts [changed] in place of what was known and wakes those who wait. */
    fun put(changed: Collection<ProgramRecord>) {
        changed.forEach { records[it.id] = it }
        changeCount.update { it + 1 }
    }

    /** Puts [changed] in place of what was known and wakes those who wait. */
    fun put(changed: ProgramRecord) = put(listOf(changed))

    /** Records [changed] and [turn] of the first of them durably, or refuses without an effect. */
    suspend fun commit(
        changed: List<ProgramRecord>,
        turn: TurnRecord? = null,
    ): Either<Refusal, Unit> {
        if (!isOwned()) return ProgramStore.notOwner().left()
        return store.commit(changed, turn).onRight { put(changed) }
    }

    /** Records as [commit] does, or keeps the change in memory during an outage of the store. */
    suspend fun commitOrBuffer(
        changed: List<ProgramRecord>,
        turn: TurnRecord? = null,
    ): Either<Refusal, Durability> {
        if (!isOwned()) return ProgramStore.notOwner().left()
        return store.commitOrBuffer(changed, turn).onRight { put(changed) }
    }

    /** Tells whether this ownership may go on; without a proof of either, the store decides by the lease. */
    private suspend fun isOwned(): Boolean =
        when (val location = ownership.locate(ProgramId(root))) {
            is ProgramLocation.Local -> location.epoch == epoch
            is ProgramLocation.Remote -> false
            is ProgramLocation.Unavailable -> true
        }
}
