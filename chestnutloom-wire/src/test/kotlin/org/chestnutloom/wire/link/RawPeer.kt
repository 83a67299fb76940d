package org.chestnutloom.wire.link

import org.chestnutloom.id.Incarnation
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

internal val loopback: String = InetAddress.getLoopbackAddress().hostAddress

internal fun identity(
    id: String,
    incarnation: String = "i1",
): PeerIdentity = PeerIdentity(id, Incarnation(incarnation), PeerRole.SIDECAR)

/** One end of a connection, over which a test sends and receives arbitrary frames or bytes. */
internal class RawPeer(
    private val socket: Socket,
) : AutoCloseable {
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())

    fun send(frame: Frame) {
        sendBytes(FrameCodec.encode(frame))
    }

    fun sendBytes(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.write(bytes)
        output.flush()
    }

    fun sendUnframed(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    fun receive(): Frame {
        val bytes = ByteArray(input.readInt())
        input.readFully(bytes)
        return FrameCodec.decode(bytes).fold({ throw AssertionError(it.detail) }, { it })
    }

    inline fun <reified F : Frame> receiveUntil(): F {
        while (true) {
            val frame = receive()
            if (frame is F) return frame
        }
    }

    /** Reads until the other end closes the connection. */
    fun awaitClosed() {
        try {
            while (input.read() >= 0) Unit
        } catch (_: java.io.IOException) {
            return
        }
    }

    override fun close() {
        socket.close()
    }

    companion object {
        fun connect(port: Int): RawPeer = RawPeer(Socket(loopback, port))

        /** Accepts one connection and performs the handshake as [id]. */
        fun accept(
            serverSocket: ServerSocket,
            id: String,
        ): RawPeer {
            val peer = RawPeer(serverSocket.accept())
            peer.receiveUntil<Frame.Hello>()
            peer.send(Frame.Hello(PROTOCOL_VERSION, identity(id)))
            return peer
        }
    }
}
