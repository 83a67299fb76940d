package org.chestnutloom.integration.edge

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** How a target ends a connection on which it has answered. */
enum class EarlyEnd {
    /** It closes the connection with bytes unread, which resets it. */
    CLOSE,

    /** It resets the connection. */
    RESET,

    /** It ends its side in order, and closes the connection with bytes unread a while later. */
    END_THEN_CLOSE,
}

/** A target that answers each request after [readBytes] of it, without a length, and then ends the connection. */
class EarlyAnswerTarget(
    private val readBytes: Int,
    private val answer: (callId: String) -> String,
    private val end: EarlyEnd,
    private val pauseMs: Long,
) : AutoCloseable {
    private val server = ServerSocket()
    val port: Int
        get() = server.localPort

    init {
        // Small, so that most of an upload stays at its sender.
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        while (!server.isClosed) {
            val socket =
                try {
                    server.accept()
                } catch (_: IOException) {
                    return
                }
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun serve(socket: Socket) {
        try {
            val read = socket.getInputStream().readNBytes(readBytes).decodeToString()
            val id = read.substringAfter("Chestnutloom-Attempt-Id: ", "").substringBefore("\r\n")
            if (id.isEmpty()) return socket.close()
            socket.getOutputStream().write(answer(id).encodeToByteArray())
            Thread.sleep(pauseMs)
            end(socket)
        } catch (_: IOException) {
            socket.close()
        }
    }

    private fun end(socket: Socket) {
        if (end == EarlyEnd.RESET) socket.setSoLinger(true, 0)
        if (end == EarlyEnd.END_THEN_CLOSE) {
            socket.shutdownOutput()
            Thread.sleep(CLOSE_DELAY_MS)
        }
        socket.close()
    }

    override fun close() = server.close()

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val CLOSE_DELAY_MS = 5L
    }
}
