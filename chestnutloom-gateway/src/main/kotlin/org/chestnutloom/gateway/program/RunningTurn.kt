package org.chestnutloom.gateway.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.flow.update
import org.chestnutloom.wire.message.ForwardedAnswer
import org.chestnutloom.wire.message.ForwardedEvent
import org.chestnutloom.wire.message.LinkReply

/**
 * A turn in progress, whose events and answer any number of requests can receive from the start.
 *
 * @property isRecovery whether the turn's call was sent by an earlier owner of the program
 */
internal class RunningTurn(
    val number: Int,
    val isRecovery: Boolean,
) {
    private val progress = MutableStateFlow(Progress(persistentListOf(), null))

    /** Appends one event of a streamed answer. */
    fun emit(data: String) {
        progress.update { it.copy(events = it.events.add(data)) }
    }

    /** Returns the events so far. */
    fun events(): List<String> = progress.value.events

    /** Ends the turn with [answer]; has no effect if the turn already ended. */
    fun finish(answer: ForwardedAnswer) {
        progress.update { if (it.answer == null) it.copy(answer = answer) else it }
    }

    /** Waits until the turn ends and returns its answer. */
    suspend fun await(): ForwardedAnswer = progress.first { it.answer != null }.answer ?: await()

    /** Returns a flow of all events from the first on, followed by the answer. */
    fun replies(): Flow<LinkReply> {
        var next = 0
        return progress.transformWhile { state ->
            while (next < state.events.size) emit(ForwardedEvent(next, state.events[next++]))
            state.answer?.let { emit(it) }
            state.answer == null
        }
    }

    private data class Progress(
        val events: PersistentList<String>,
        val answer: ForwardedAnswer?,
    )
}
