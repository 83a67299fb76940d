package org.chestnutloom.sidecar

import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

/** Answers one connection with fixed bytes, once the request's head has come, and closes it. */
internal class CannedServer(
    private val response: String,
) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val request = StringBuilder()
    private val worker = thread { serve() }

    val port: Int
        get() = server.localPort

    fun received(): String {
        server.close()
        worker.join(JOIN_MS)
        return synchronized(request) { request.toString() }
    }

    override fun close() = server.close()

    private fun serve() {
        server.soTimeout = ACCEPT_MS
        val socket =
            try {
                server.accept()
            } catch (_: SocketTimeoutException) {
                return
            } catch (_: java.net.SocketException) {
                return
            }
        socket.use {
            val input = it.getInputStream()
            val buffer = ByteArray(BUFFER_BYTES)
            var text = ""
            while (!text.contains("\r\n\r\n") || !text.endsWith("}")) {
                val count = input.read(buffer)
                if (count < 0) break
                text += String(buffer, 0, count)
            }
            synchronized(request) { request.append(text) }
            it.getOutputStream().write(response.toByteArray())
            it.getOutputStream().flush()
        }
    }

    private companion object {
        const val ACCEPT_MS = 5_000
        const val JOIN_MS = 5_000L
        const val BUFFER_BYTES = 65_536
    }
}
