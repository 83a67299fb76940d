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
    private val onCarried: (Direction, Int) -> Unit,
) {
    /** The job that carries the connection's bytes; cancelling it closes the connection. */
    var job: Job = Job()

    /** Carries bytes between the two sockets until both directions have ended. */
    suspend fun carry(
        caller: Socket,
        target: Socket,
    ) {
        coroutineScope {
            launch { carry(Direction.TO_TARGET, caller.openReadChannel(), target.openWriteChannel()) }
            launch { carry(Direction.TO_CALLER, target.openReadChannel(), caller.openWriteChannel()) }
        }
    }

    /** Tells whether the connection is to be closed before it carries anything. */
    fun isCut(): Boolean = faults.closesAtOnce()

    /** Lets a new fault of the link hold at once. */
    fun faultChanged() {
        if (faults.faultChanged()) job.cancel()
    }

    private suspend fun carry(
        direction: Direction,
        from: ByteReadChannel,
        to: ByteWriteChannel,
    ) {
        val pieces = Channel<LatePiece>(QUEUED_PIECES)
        coroutineScope {
            launch { write(direction, pieces, to) }
            read(direction, from, pieces)
            pieces.close()
        }
    }

    private suspend fun read(
        direction: Direction,
        from: ByteReadChannel,
        pieces: Channel<LatePiece>,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.readAvailable(buffer)
            if (faults.isFrozen() || (count < 0 && faults.hasHole(direction))) awaitCancellation()
            if (count < 0) return
            val action = faults.decide(direction, buffer.copyOf(count))
            pieces.send(LatePiece(action.bytes, clock.elapsed() + delayOf(action)))
            end(action, from, buffer)
        }
    }

    private fun delayOf(action: PieceAction): Duration =
        if (action is PieceAction.Forward) action.delay else Duration.ZERO

    private suspend fun end(
        action: PieceAction,
        from: ByteReadChannel,
        buffer: ByteArray,
    ) {
        when (action) {
            is PieceAction.Forward -> {
                return
            }

            is PieceAction.Freeze -> {
                awaitCancellation()
            }

            is PieceAction.Close -> {
                swallow(from, buffer, action.swallowing)
                if (action.bytes.isNotEmpty()) delay(FLUSH_TIME)
                job.cancel()
                awaitCancellation()
            }
        }
    }

    private suspend fun swallow(
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
        pieces: Channel<LatePiece>,
        to: ByteWriteChannel,
    ) {
        for (piece in pieces) {
            delay(piece.dueAt - clock.elapsed())
            to.writeFully(piece.bytes, 0, piece.bytes.size)
            to.flush()
            onCarried(direction, piece.bytes.size)
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

    private class LatePiece(
        val bytes: ByteArray,
        val dueAt: Duration,
    )

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        const val QUEUED_PIECES = 256
        val FLUSH_TIME = 50.milliseconds
    }
}
