package org.chestnutloom.gateway.control

import arrow.core.Either
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * Stores programs and their turns durably in the platform's store.
 *
 * Changes to a program take effect in the order of the calls. Changes are group committed, one transaction per group,
 * on the condition that this gateway still holds its lease.
 */
public interface Journal {
    /** Returns the newest state of [program], including changes that are not yet durable, or null if there is none. */
    public suspend fun load(program: ProgramId): Either<JournalFailure, JsonElement?>

    /** Returns the record of turn [turnNumber] of [program], or null if there is none. */
    public suspend fun loadTurn(
        program: ProgramId,
        turnNumber: Int,
    ): Either<JournalFailure, JsonElement?>

    /**
     * Marks [program] as having a newly generated id, so that the store cannot contain it.
     *
     * Otherwise the journal must read the store first, and no program can be opened during an outage.
     */
    public fun markNew(program: ProgramId) {}

    /** Records [change] and returns once it is durable; after a failure it is not durable and never will be. */
    public suspend fun commit(change: JournalChange): Either<JournalFailure, Unit>

    /**
     * Records [change] and returns once it is durable or, in a store outage, buffered in memory.
     *
     * Buffered changes become durable in order when the store is available again.
     */
    public suspend fun commitOrBuffer(change: JournalChange): Either<JournalFailure, Durability>
}
