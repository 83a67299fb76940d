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

/** An HTTP server that sends a fixed response to one request and closes the connection. */
internal class StubHttpServer(
    private val response: String,
    waitsForRelease: Boolean = false,
) : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val request = StringBuilder()
    private val responseReleased = CountDownLatch(if (waitsForRelease) 1 else 0)
    private val requestRead = CountDownLatch(1)
    private val worker = thread { serve() }

    val port: Int
        get() = server.localPort

    fun receivedRequest(): String {
        server.close()
        worker.join(JOIN_MS)
        return synchronized(request) { request.toString() }
    }

    /** Waits until the request has been received. */
    fun awaitRequest() {
        requestRead.await(JOIN_MS, TimeUnit.MILLISECONDS)
    }

    /** Allows the response to be sent. */
    fun releaseResponse() = responseReleased.countDown()

    override fun close() = server.close()

    private fun serve() {
        server.soTimeout = ACCEPT_MS
        try {
            while (!respond(server.accept())) Unit
        } catch (_: SocketException) {
            // The test closed the server.
        } catch (_: SocketTimeoutException) {
            // No request arrived.
        }
    }

    /** Responds to the request on [socket]; returns false if there was none, as on the connection of a probe. */
    private fun respond(socket: Socket): Boolean =
        socket.use {
            val text = read(it.getInputStream())
            if (text.isEmpty()) return false
            synchronized(request) { request.append(text) }
            requestRead.countDown()
            responseReleased.await(JOIN_MS, TimeUnit.MILLISECONDS)
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
