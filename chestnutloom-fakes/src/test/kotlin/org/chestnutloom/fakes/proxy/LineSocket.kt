package org.chestnutloom.fakes.proxy

import java.io.IOException
import java.net.Socket

/** A caller's connection through a proxy. */
internal class LineSocket(
    port: Int,
) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_LIMIT_MS }

    val hasInput: Boolean
        get() = socket.getInputStream().available() > 0

    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
    }

    /** Reads [length] bytes; fewer come back when the connection ends first. */
    fun read(length: Int): String = String(socket.getInputStream().readNBytes(length))

    fun exchange(text: String): String {
        write(text)
        return read(text.length)
    }

    /** Waits until the connection is closed from the other side. */
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
        const val READ_LIMIT_MS = 30_000
    }
}
