package org.chestnutloom.sidecar

import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import kotlin.concurrent.thread

/** An HTTP server that sends [response] at the first byte of a request, reads no more, and resets the connection. */
internal class EarlyResetServer(
    private val response: String,
) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

    val port: Int
        get() = server.localPort

    init {
        thread(isDaemon = true) { serve() }
    }

    override fun close() = server.close()

    private fun serve() {
        try {
            server.accept().use { socket ->
                socket.getInputStream().read()
                socket.getOutputStream().write(response.toByteArray())
                socket.getOutputStream().flush()
                Thread.sleep(RESET_AFTER_MS)
                socket.setSoLinger(true, 0)
            }
        } catch (_: SocketException) {
            // The test closed the server, or the client the connection.
        }
    }

    private companion object {
        /** Enough for the client to read the response. */
        const val RESET_AFTER_MS = 50L
    }
}
