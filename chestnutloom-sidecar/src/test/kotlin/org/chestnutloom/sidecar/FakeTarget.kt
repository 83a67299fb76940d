package org.chestnutloom.sidecar

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import org.chestnutloom.id.CallId
import org.chestnutloom.sidecar.target.Target
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.sidecar.target.TargetHealth
import org.chestnutloom.wire.message.CallRequest

/** A target whose responses are scripted by the test, with one script per connection. */
internal class FakeTarget : Target {
    val sent = mutableListOf<CallId>()
    val cancelled = mutableListOf<CallId>()
    val resumedFrom = mutableListOf<Int>()
    var health = TargetHealth.UP

    private val scripts = mutableMapOf<CallId, Channel<TargetEvent>>()
    private val resumed = Channel<List<TargetEvent>>(Channel.UNLIMITED)

    /** Sends [events] on the connection of call [id]; the last one ends the response. */
    fun respond(
        id: CallId,
        vararg events: TargetEvent,
    ) {
        events.forEach { script(id).trySend(it) }
    }

    fun respondOnResume(vararg events: TargetEvent) {
        resumed.trySend(events.toList())
    }

    override fun run(
        call: CallRequest,
        traceParent: String?,
    ): Flow<TargetEvent> =
        flow {
            sent.add(call.id)
            val script = Channel<TargetEvent>(Channel.UNLIMITED).also { queued -> moveEarlyEvents(call.id, queued) }
            do {
                val event = script.receive()
                emit(event)
            } while (event is TargetEvent.Chunk)
        }

    override fun resume(
        id: CallId,
        fromChunk: Int,
    ): Flow<TargetEvent> =
        flow {
            resumedFrom.add(fromChunk)
            resumed.receive().forEach { emit(it) }
        }

    override suspend fun cancel(id: CallId) {
        cancelled.add(id)
    }

    override suspend fun probe(): TargetHealth = health

    override fun close() = Unit

    private fun script(id: CallId): Channel<TargetEvent> = scripts.getOrPut(id) { Channel(Channel.UNLIMITED) }

    /** Moves the events that were scripted before the call was sent to the call's connection. */
    private fun moveEarlyEvents(
        id: CallId,
        connection: Channel<TargetEvent>,
    ) {
        val early = scripts.put(id, connection) ?: return
        generateSequence { early.tryReceive().getOrNull() }.forEach { connection.trySend(it) }
    }
}
