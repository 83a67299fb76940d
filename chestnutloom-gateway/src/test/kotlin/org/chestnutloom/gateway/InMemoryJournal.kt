package org.chestnutloom.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.gateway.control.Durability
import org.chestnutloom.gateway.control.Journal
import org.chestnutloom.gateway.control.JournalChange
import org.chestnutloom.gateway.control.JournalFailure
import org.chestnutloom.id.ProgramId
import java.util.concurrent.ConcurrentHashMap

/** An in-memory journal whose store can be made unavailable. */
internal class InMemoryJournal : Journal {
    val states = ConcurrentHashMap<ProgramId, JsonElement>()
    val turns = ConcurrentHashMap<Pair<ProgramId, Int>, JsonElement>()
    val changes = mutableListOf<JournalChange>()

    @Volatile
    var isUnavailable = false

    override suspend fun load(program: ProgramId): Either<JournalFailure, JsonElement?> = states[program].right()

    override suspend fun loadTurn(
        program: ProgramId,
        turnNumber: Int,
    ): Either<JournalFailure, JsonElement?> = turns[program to turnNumber].right()

    override suspend fun commit(change: JournalChange): Either<JournalFailure, Unit> {
        if (isUnavailable) return JournalFailure.StoreUnavailable("store unavailable").left()
        apply(change)
        return Unit.right()
    }

    override suspend fun commitOrBuffer(change: JournalChange): Either<JournalFailure, Durability> {
        apply(change)
        return (if (isUnavailable) Durability.IN_MEMORY else Durability.DURABLE).right()
    }

    @Synchronized
    private fun apply(change: JournalChange) {
        changes += change
        states[change.program] = change.state
        states.putAll(change.related)
        change.turns.forEach { (number, turn) -> turns[change.program to number] = turn }
    }
}
