package org.chestnutloom.fakes.proxy

import java.io.IOException
import java.net.Socket

/** A caller's blocking connection to a proxy. */
internal class TestConnection(
    port: Int,
) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MS }

    val hasInput: Boolean
        get() = socket.getInputStream().available() > 0

    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
    }

    /** Reads [length] bytes, or fewer if the connection ends first. */
    fun read(length: Int): String = String(socket.getInputStream().readNBytes(length))

    fun exchange(text: String): String {
        write(text)
        return read(text.length)
    }

    /** Waits until the peer closes the connection; returns false if it sends a byte instead. */
    fun awaitClosed(): Boolean =
        try {
            socket.getInputStream().read() < 0
        } catch (_: IOException) {
            !socket.isClosed
        }

    override fun close() {
        socket.close()
    }

    private companion object {
        const val READ_TIMEOUT_MS = 30_000
    }
}
