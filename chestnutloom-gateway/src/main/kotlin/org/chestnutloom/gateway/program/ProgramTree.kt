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
 * The state of a root program and its sub-agents while this gateway serves them in ownership epoch [epoch].
 *
 * All members except [changes] and [epoch] may be accessed only while [mutex] is held.
 */
internal class ProgramTree(
    val root: String,
    val epoch: Long,
    private val store: ProgramStore,
    private val ownership: OwnershipTable,
) {
    /** Guards the records and the running turns. */
    val mutex: Mutex = Mutex()

    /** The running turns. */
    val running: MutableMap<ProgramId, RunningTurn> = mutableMapOf()

    private val records = mutableMapOf<ProgramId, ProgramRecord>()
    private val changeCount = MutableStateFlow(0L)

    /** A counter that increases with each change, so that requests can wait for the next one. */
    val changes: StateFlow<Long>
        get() = changeCount

    /** Returns the latest state of [program], or null if it does not exist. */
    suspend fun load(program: ProgramId): Either<Refusal, ProgramRecord?> {
        records[program]?.let { return it.right() }
        return store.load(program).onRight { if (it != null) records[program] = it }
    }

    /** Replaces the cached records with [changed] and wakes requests that wait on [changes]. */
    fun put(changed: Collection<ProgramRecord>) {
        changed.forEach { records[it.id] = it }
        changeCount.update { it + 1 }
    }

    /** Replaces the cached record with [changed] and wakes requests that wait on [changes]. */
    fun put(changed: ProgramRecord) = put(listOf(changed))

    /** Stores [changed] durably, along with [turn] of the first of them, or refuses and changes nothing. */
    suspend fun commit(
        changed: List<ProgramRecord>,
        turn: TurnRecord? = null,
    ): Either<Refusal, Unit> {
        if (!isOwned()) return ProgramStore.notOwner().left()
        return store.commit(changed, turn).onRight { put(changed) }
    }

    /** Stores records as [commit] does, but buffers the change in memory while the store is unavailable. */
    suspend fun commitOrBuffer(
        changed: List<ProgramRecord>,
        turn: TurnRecord? = null,
    ): Either<Refusal, Durability> {
        if (!isOwned()) return ProgramStore.notOwner().left()
        return store.commitOrBuffer(changed, turn).onRight { put(changed) }
    }

    /**
     * Returns whether this gateway still owns the tree in ownership epoch [epoch].
     *
     * If ownership cannot be determined, this returns true and the store checks the lease on commit.
     */
    private suspend fun isOwned(): Boolean =
        when (val location = ownership.locate(ProgramId(root))) {
            is ProgramLocation.Local -> location.epoch == epoch
            is ProgramLocation.Remote -> false
            is ProgramLocation.Unavailable -> true
        }
}
