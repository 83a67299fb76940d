package org.chestnutloom.fakes.proxy

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.time.Clock
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One connection through a proxy. */
internal class ProxyConnection(
    private val faults: ConnectionFaults,
    private val clock: Clock,
    private val onRelayed: (Direction, Int) -> Unit,
) {
    /** The job that relays the bytes of the connection; cancelling it closes the connection. */
    var job: Job = Job()

    /** Relays bytes between the two sockets until both directions have ended. */
    suspend fun relay(
        caller: Socket,
        target: Socket,
    ) {
        coroutineScope {
            launch { relay(Direction.TO_TARGET, caller.openReadChannel(), target.openWriteChannel()) }
            launch { relay(Direction.TO_CALLER, target.openReadChannel(), caller.openWriteChannel()) }
        }
    }

    /** Returns whether the connection must be closed before it transfers any bytes. */
    fun closesImmediately(): Boolean = faults.closesImmediately()

    /** Applies a new fault of the link immediately. */
    fun onFaultChanged() {
        if (faults.onFaultChanged()) job.cancel()
    }

    private suspend fun relay(
        direction: Direction,
        from: ByteReadChannel,
        to: ByteWriteChannel,
    ) {
        val chunks = Channel<DelayedChunk>(MAX_QUEUED_CHUNKS)
        coroutineScope {
            launch { write(direction, chunks, to) }
            read(direction, from, chunks)
            chunks.close()
        }
    }

    private suspend fun read(
        direction: Direction,
        from: ByteReadChannel,
        chunks: Channel<DelayedChunk>,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.readAvailable(buffer)
            if (faults.isFrozen() || (count < 0 && faults.isBlackholed(direction))) awaitCancellation()
            if (count < 0) return
            val action = faults.decide(direction, buffer.copyOf(count))
            chunks.send(DelayedChunk(action.bytes, clock.elapsed() + delayOf(action)))
            finish(action, from, buffer)
        }
    }

    private fun delayOf(action: ChunkAction): Duration =
        if (action is ChunkAction.Forward) action.delay else Duration.ZERO

    private suspend fun finish(
        action: ChunkAction,
        from: ByteReadChannel,
        buffer: ByteArray,
    ) {
        when (action) {
            is ChunkAction.Forward -> {
                return
            }

            is ChunkAction.Freeze -> {
                awaitCancellation()
            }

            is ChunkAction.Close -> {
                discard(from, buffer, action.discardFor)
                if (action.bytes.isNotEmpty()) delay(FLUSH_TIME)
                job.cancel()
                awaitCancellation()
            }
        }
    }

    private suspend fun discard(
        from: ByteReadChannel,
        buffer: ByteArray,
        duration: Duration,
    ) {
        withTimeoutOrNull(duration) {
            while (from.readAvailable(buffer) >= 0) continue
            awaitCancellation()
        }
    }

    private suspend fun write(
        direction: Direction,
        chunks: Channel<DelayedChunk>,
        to: ByteWriteChannel,
    ) {
        for (chunk in chunks) {
            delay(chunk.dueAt - clock.elapsed())
            to.writeFully(chunk.bytes, 0, chunk.bytes.size)
            to.flush()
            onRelayed(direction, chunk.bytes.size)
        }
        closeOutput(to)
    }

    private suspend fun closeOutput(to: ByteWriteChannel) {
        try {
            to.flushAndClose()
        } catch (_: IOException) {
            job.cancel()
        }
    }

    private class DelayedChunk(
        val bytes: ByteArray,
        val dueAt: Duration,
    )

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        const val MAX_QUEUED_CHUNKS = 256
        val FLUSH_TIME = 50.milliseconds
    }
}
