package org.chestnutloom.integration.edge

import java.io.BufferedInputStream
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.Socket

/** A caller's connection for several requests, whose responses have a length. */
class KeptConnection(
    port: Int,
) : Closeable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port)
    private val input = BufferedInputStream(socket.getInputStream())

    /** Sends a request and returns the status of its complete response, or null if the connection ends before. */
    fun send(
        path: String,
        id: String,
        callerTimeoutMs: Int,
    ): Int? =
        try {
            val head =
                "POST $path HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\nContent-Length: 0\r\n" +
                    "Chestnutloom-Attempt-Id: $id\r\nChestnutloom-Deadline-Ms: $callerTimeoutMs\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            readResponse()
        } catch (_: IOException) {
            // The test judges by whether the target has received the request.
            null
        }

    private fun readResponse(): Int? {
        val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val status = lines.firstOrNull()?.split(' ')?.getOrNull(1) ?: return null
        val length = lines.first { it.startsWith("content-length:", ignoreCase = true) }.substringAfter(':').trim()
        val body = input.readNBytes(length.toInt())
        return if (body.size == length.toInt()) status.toInt() else null
    }

    private fun readLine(): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().trimEnd('\r')
            line.append(byte.toChar())
        }
    }

    override fun close() {
        socket.close()
    }
}
