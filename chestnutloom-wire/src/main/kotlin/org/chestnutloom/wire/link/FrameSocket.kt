package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.cancel
import kotlinx.io.EOFException
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Reads and writes frames on one TCP connection; every read and write may throw an IOException. */
internal class FrameSocket(
    private val socket: Socket,
    private val maxFrameBytes: Int,
    private val clock: Clock,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel()

    /** When bytes last arrived, on the clock's elapsed time. */
    @Volatile
    var receivedAt: Duration = clock.elapsed()
        private set

    /** Reads the next frame together with its size in bytes. */
    suspend fun read(): Either<MalformedFrame, SizedFrame> {
        val sizeBytes = input.readInt()
        receivedAt = clock.elapsed()
        if (sizeBytes !in 1..maxFrameBytes) return MalformedFrame("a frame of $sizeBytes bytes").left()
        val bytes = readBytes(sizeBytes)
        return FrameCodec.decode(bytes).flatMap { SizedFrame(it, sizeBytes).right() }
    }

    /** Writes an encoded frame; it may stay in a buffer until [flush]. */
    suspend fun write(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.writeFully(bytes)
    }

    suspend fun flush() {
        output.flush()
    }

    /** Closes the connection at once, also while a read or write waits on it. */
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
