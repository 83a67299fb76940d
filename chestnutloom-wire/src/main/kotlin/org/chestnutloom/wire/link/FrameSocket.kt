package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.cancel
import kotlinx.io.EOFException
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Reads and writes length-prefixed frames on one TCP connection; any read or write may throw an IOException. */
internal class FrameSocket(
    private val socket: Socket,
    private val maxFrameBytes: Int,
    private val clock: Clock,
) {
    private val input = socket.openReadChannel()
    private val output = ByteChannel()
    private val writer = socket.attachForWriting(output)

    /** When bytes last arrived, as elapsed time of the clock. */
    @Volatile
    var receivedAt: Duration = clock.elapsed()
        private set

    /** Reads the next frame and its size in bytes. */
    suspend fun read(): Either<MalformedFrame, SizedFrame> {
        val sizeBytes = input.readInt()
        receivedAt = clock.elapsed()
        if (sizeBytes !in 1..maxFrameBytes) {
            return MalformedFrame("frame length $sizeBytes is not from 1 to $maxFrameBytes").left()
        }
        val bytes = readBytes(sizeBytes)
        return FrameCodec.decode(bytes).flatMap { SizedFrame(it, sizeBytes).right() }
    }

    /** Writes an encoded frame, which may stay buffered until [flush]. */
    suspend fun write(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.writeFully(bytes)
    }

    suspend fun flush() {
        output.flush()
    }

    /** Ends sending after everything that was written has been handed to the operating system. */
    suspend fun finishWriting() {
        output.flushAndClose()
        writer.job.join()
    }

    /** Closes the connection immediately, and interrupts pending reads and writes. */
    fun close() {
        input.cancel()
        output.cancel(null)
        socket.close()
        socket.cancel()
    }

    private suspend fun readBytes(sizeBytes: Int): ByteArray {
        val bytes = ByteArray(sizeBytes)
        var offset = 0
        while (offset < sizeBytes) {
            val count = input.readAvailable(bytes, offset, minOf(sizeBytes - offset, READ_CHUNK_BYTES))
            if (count < 0) throw EOFException()
            receivedAt = clock.elapsed()
            offset += count
        }
        return bytes
    }

    private companion object {
        private const val READ_CHUNK_BYTES = 64 * 1024
    }
}
