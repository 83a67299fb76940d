package org.chestnutloom.integration.edge

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A relay of TCP connections to [targetPort] that can be held, like a network that is cut and heals later. */
class HeldLink(
    @Volatile var targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG_CONNECTIONS, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val lock = Object()
    private var isHeld = false

    val port: Int
        get() = server.localPort

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Keeps back bytes and the ends of connections in both directions, until [release]. */
    fun hold() = synchronized(lock) { isHeld = true }

    /** Passes on what was kept back, in its order. */
    fun release() =
        synchronized(lock) {
            isHeld = false
            lock.notifyAll()
        }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
        release()
    }

    private fun accept() {
        while (!server.isClosed) {
            try {
                val caller = server.accept()
                sockets += caller
                thread(isDaemon = true) { relay(caller) }
            } catch (_: IOException) {
                // The test has ended.
                return
            }
        }
    }

    private fun relay(caller: Socket) {
        awaitRelease()
        try {
            val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
            sockets += target
            thread(isDaemon = true) { pump(caller, target) }
            pump(target, caller)
        } catch (_: IOException) {
            // The target does not listen.
            caller.close()
        }
    }

    private fun pump(
        from: Socket,
        to: Socket,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                awaitRelease()
                if (count < 0) return to.shutdownOutput()
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            awaitRelease()
            from.close()
            to.close()
        }
    }

    private fun awaitRelease() =
        synchronized(lock) {
            while (isHeld) lock.wait()
        }

    private companion object {
        const val BACKLOG_CONNECTIONS = 64
        const val BUFFER_BYTES = 8_192
    }
}
