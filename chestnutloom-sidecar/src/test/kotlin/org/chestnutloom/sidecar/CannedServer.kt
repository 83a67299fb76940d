package org.chestnutloom.sidecar

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Answers one request with fixed bytes, and closes its connection. */
internal class CannedServer(
    private val response: String,
    answersWhenReleased: Boolean = false,
) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val request = StringBuilder()
    private val gate = CountDownLatch(if (answersWhenReleased) 1 else 0)
    private val requestRead = CountDownLatch(1)
    private val worker = thread { serve() }

    val port: Int
        get() = server.localPort

    fun received(): String {
        server.close()
        worker.join(JOIN_MS)
        return synchronized(request) { request.toString() }
    }

    /** Waits until the request has come. */
    fun awaitRequest() {
        requestRead.await(JOIN_MS, TimeUnit.MILLISECONDS)
    }

    /** Lets the answer go out. */
    fun release() = gate.countDown()

    override fun close() = server.close()

    private fun serve() {
        server.soTimeout = ACCEPT_MS
        try {
            while (!answer(server.accept())) Unit
        } catch (_: SocketException) {
            // The test closed the server.
        } catch (_: SocketTimeoutException) {
            // Nobody asked.
        }
    }

    /** Answers the request on [socket]; returns false when the connection brought none, as that of a probe. */
    private fun answer(socket: Socket): Boolean =
        socket.use {
            val text = read(it.getInputStream())
            if (text.isEmpty()) return false
            synchronized(request) { request.append(text) }
            requestRead.countDown()
            gate.await(JOIN_MS, TimeUnit.MILLISECONDS)
            it.getOutputStream().write(response.toByteArray())
            it.getOutputStream().flush()
            true
        }

    private fun read(input: InputStream): String {
        val buffer = ByteArray(BUFFER_BYTES)
        var text = ""
        while (!text.contains("\r\n\r\n") || !text.endsWith("}")) {
            val count = input.read(buffer)
            if (count < 0) break
            text += String(buffer, 0, count)
        }
        return text
    }

    private companion object {
        const val ACCEPT_MS = 20_000
        const val JOIN_MS = 20_000L
        const val BUFFER_BYTES = 65_536
    }
}
