package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.id.ProgramId

/**
 * A change that is not yet durable.
 *
 * @property canBuffer whether the change may be buffered in memory during a store outage
 */
internal class PendingChange(
    val change: JournalChange,
    val canBuffer: Boolean,
) {
    /** The new state of each program that the change affects. */
    val states: Map<ProgramId, JsonElement> = change.related + (change.program to change.state)

    /** Completed once the change is durable, is buffered, or has failed. */
    val result = CompletableDeferred<Either<JournalFailure, Durability>>()

    /** The estimated size in memory, in bytes. */
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
