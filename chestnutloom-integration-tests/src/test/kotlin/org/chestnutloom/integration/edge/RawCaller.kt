package org.chestnutloom.integration.edge

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetAddress
import java.net.Socket

/** Sends raw HTTP requests, one per connection, and reads all bytes of the response. */
class RawCaller(
    private val port: Int,
) {
    private var requests = 0

    /** Sends a request whose connection closes after the response; without an Authorization header if [key] is null. */
    suspend fun send(
        method: String,
        path: String,
        body: String = "",
        id: String = "attempt-$port-${++requests}",
        key: String? = "key-a",
        headers: Map<String, String> = emptyMap(),
        callerTimeoutMs: Int = 4_000,
    ): RawResponse {
        val lines =
            listOf("$method $path HTTP/1.1", "Host: a.example", "Connection: close", "Content-Length: ${body.length}") +
                "Chestnutloom-Attempt-Id: $id" +
                "Chestnutloom-Deadline-Ms: $callerTimeoutMs" +
                listOfNotNull(key?.let { "Authorization: Token $it" }) +
                headers.map { (name, value) -> "$name: $value" }
        return exchange(lines.joinToString("\r\n", postfix = "\r\n\r\n") + body)
    }

    /** Sends a request, waits for [waitMs] without reading, and returns how to read what has arrived. */
    suspend fun sendWithoutReading(
        method: String,
        path: String,
        callerTimeoutMs: Long,
        waitMs: Long = callerTimeoutMs,
    ): suspend () -> RawResponse =
        withContext(Dispatchers.IO) {
            val socket = Socket(InetAddress.getLoopbackAddress(), port)
            val head =
                "$method $path HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nAuthorization: Token key-a\r\n" +
                    "Chestnutloom-Attempt-Id: attempt-$port-${++requests}\r\n" +
                    "Chestnutloom-Deadline-Ms: $callerTimeoutMs\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            delay(waitMs)
            suspend { withContext(Dispatchers.IO) { socket.use { readAll(it) } } }
        }

    /** Sends [text] and reads until the connection is closed or reset. */
    suspend fun exchange(text: String): RawResponse = exchange(text.encodeToByteArray())

    /** Sends [bytes] and reads until the connection is closed or reset. */
    suspend fun exchange(bytes: ByteArray): RawResponse =
        withContext(Dispatchers.IO) {
            Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                socket.getOutputStream().write(bytes)
                socket.getOutputStream().flush()
                readAll(socket)
            }
        }

    private fun readAll(socket: Socket): RawResponse {
        val text = StringBuilder()
        var isReset = false
        try {
            val reader = socket.getInputStream().reader()
            generateSequence { reader.read().takeIf { it >= 0 } }.forEach { text.append(it.toChar()) }
        } catch (_: IOException) {
            // A reset also ends the response; the caller keeps the bytes read before it.
            isReset = true
        }
        return RawResponse(text.toString(), isReset)
    }
}
