package org.chestnutloom.gateway.program

import arrow.core.Either
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.control.Durability
import org.chestnutloom.gateway.control.Journal
import org.chestnutloom.gateway.control.JournalChange
import org.chestnutloom.gateway.control.JournalFailure
import org.chestnutloom.id.ProgramId
import org.chestnutloom.program.ProgramRecord
import org.chestnutloom.program.TurnRecord

private const val STORE_RETRY_MS = 1_000L
private const val OWNER_RETRY_MS = 200L

/** Reads and writes the records of programs and turns through the [journal]. */
internal class ProgramStore(
    private val journal: Journal,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the latest state of [program], or null if it does not exist. */
    suspend fun load(program: ProgramId): Either<Refusal, ProgramRecord?> =
        journal.load(program).map { it?.let { state -> json.decodeFromJsonElement<ProgramRecord>(state) } }.refused()

    /** Returns the record of turn [turnNumber] of [program], or null if there is none. */
    suspend fun loadTurn(
        program: ProgramId,
        turnNumber: Int,
    ): Either<Refusal, TurnRecord?> =
        journal
            .loadTurn(program, turnNumber)
            .map { it?.let { turn -> json.decodeFromJsonElement<TurnRecord>(turn) } }
            .refused()

    /** Stores [records] durably, along with [turn] of the first of them, or refuses and stores nothing. */
    suspend fun commit(
        records: List<ProgramRecord>,
        turn: TurnRecord? = null,
    ): Either<Refusal, Unit> = journal.commit(change(records, turn)).refused()

    /** Stores records as [commit] does, but buffers the change in memory while the store is unavailable. */
    suspend fun commitOrBuffer(
        records: List<ProgramRecord>,
        turn: TurnRecord? = null,
    ): Either<Refusal, Durability> = journal.commitOrBuffer(change(records, turn)).refused()

    private fun change(
        records: List<ProgramRecord>,
        turn: TurnRecord?,
    ): JournalChange {
        val changed = records.first()
        val turns = listOfNotNull(turn).associate { it.turnNumber to json.encodeToJsonElement(it) }
        val related = records.drop(1).associate { it.id to json.encodeToJsonElement(it) }
        return JournalChange(changed.id, json.encodeToJsonElement(changed), turns, related)
    }

    private fun <T> Either<JournalFailure, T>.refused(): Either<Refusal, T> = mapLeft(::refusalOf)

    private fun refusalOf(failure: JournalFailure): Refusal =
        when (failure) {
            is JournalFailure.StoreUnavailable -> storeUnavailable()
            is JournalFailure.NotOwner -> notOwner()
        }

    private fun storeUnavailable(): Refusal {
        val detail = "The platform's store is unavailable."
        return Refusal(RefusalCode.STORE_UNAVAILABLE, Execution.NOT_RUN, detail, STORE_RETRY_MS)
    }

    internal companion object {
        /** Returns the refusal for a program that this gateway does not own. */
        fun notOwner(): Refusal {
            val detail = "Another gateway owns the program."
            return Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, detail, OWNER_RETRY_MS)
        }
    }
}
