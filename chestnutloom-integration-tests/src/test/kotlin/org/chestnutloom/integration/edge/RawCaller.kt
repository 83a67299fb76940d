package org.chestnutloom.integration.edge

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetAddress
import java.net.Socket

/** Sends requests byte for byte, one to a connection, and reads everything that comes back. */
class RawCaller(
    private val port: Int,
) {
    private var requests = 0

    /** Sends a request whose connection closes after the answer; null as a header's value leaves the header out. */
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

    /** Sends [text] and reads until the connection ends. */
    suspend fun exchange(text: String): RawResponse =
        withContext(Dispatchers.IO) {
            Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                socket.getOutputStream().write(text.encodeToByteArray())
                socket.getOutputStream().flush()
                RawResponse(readAll(socket))
            }
        }

    private fun readAll(socket: Socket): String {
        val text = StringBuilder()
        try {
            val reader = socket.getInputStream().reader()
            generateSequence { reader.read().takeIf { it >= 0 } }.forEach { text.append(it.toChar()) }
        } catch (_: IOException) {
            // A reset ends the answer as well; what came before it is what the caller has.
        }
        return text.toString()
    }
}
