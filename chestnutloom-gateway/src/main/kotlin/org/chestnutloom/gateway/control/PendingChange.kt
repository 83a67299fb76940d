package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * One change on its way to the store.
 *
 * @property mayKeep whether the change may wait in memory for the end of an outage
 */
internal class PendingChange(
    val change: JournalChange,
    val mayKeep: Boolean,
) {
    /** The new state of each program that the change touches. */
    val states: Map<ProgramId, JsonElement> = change.related + (change.program to change.state)

    /** Completed once the caller can be answered. */
    val result = CompletableDeferred<Either<JournalFailure, Durability>>()

    /** A rough size in memory, in bytes. */
    val sizeBytes: Long by lazy {
        (states.values + change.turns.values).sumOf { it.toString().length.toLong() * BYTES_PER_CHAR }
    }

    fun succeed(durability: Durability) {
        result.complete(durability.right())
    }

    fun fail(failure: JournalFailure) {
        result.complete(failure.left())
    }

    private companion object {
        const val BYTES_PER_CHAR = 2
    }
}
