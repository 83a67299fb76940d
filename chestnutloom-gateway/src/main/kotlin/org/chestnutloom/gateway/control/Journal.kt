package org.chestnutloom.gateway.control

import arrow.core.Either
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * Keeps programs and their turns durable in the platform's store.
 *
 * Changes of one program take effect in the order of the calls. Writes of all programs that changed are committed in
 * groups, one transaction a group, under the condition that this gateway still holds its lease.
 */
public interface Journal {
    /** Returns the newest state of [program], changes not yet durable included, or null when there is none. */
    public suspend fun load(program: ProgramId): Either<JournalFailure, JsonElement?>

    /** Returns the record of turn [turnNumber] of [program], or null when there is none. */
    public suspend fun loadTurn(
        program: ProgramId,
        turnNumber: Int,
    ): Either<JournalFailure, JsonElement?>

    /**
     * Notes that [program] has an id made just now, so that there is no such program yet.
     *
     * Without this note the store has to be asked, and no program can be opened in an outage.
     */
    public fun markNew(program: ProgramId) {}

    /** Records [change] and returns once it is durable; on a failure it has not and will not become durable. */
    public suspend fun commit(change: JournalChange): Either<JournalFailure, Unit>

    /**
     * Records [change], and returns once it is durable or, in an outage of the store, once it is kept in memory.
     *
     * Changes kept in memory become durable in their order when the store is back.
     */
    public suspend fun commitOrBuffer(change: JournalChange): Either<JournalFailure, Durability>
}
