package org.chestnutloom.fakes.proxy

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Echoes the bytes of each connection and records them. */
internal class EchoServer : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** The received texts, one for each read. */
    val received = CopyOnWriteArrayList<String>()

    val port: Int
        get() = server.localPort

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    override fun close() {
        server.close()
        sockets.forEach(Socket::close)
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            val socket = runCatching { server.accept() }.getOrNull() ?: return
            sockets += socket
            thread(isDaemon = true) { runCatching { echo(socket) } }
        }
    }

    private fun echo(socket: Socket) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = socket.getInputStream().read(buffer)
            if (count < 0) return socket.close()
            received += String(buffer, 0, count)
            socket.getOutputStream().write(buffer, 0, count)
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 1024
    }
}
