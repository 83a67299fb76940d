package org.chestnutloom.edge.http

import io.netty.channel.socket.nio.NioSocketChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/** A TCP connection that can tell a reset which arrives behind the end of the bytes of the other side. */
internal class ResetAwareSocketChannel : NioSocketChannel() {
    /**
     * Whether the connection has been reset, also if the end of its bytes was read before.
     *
     * After that end, the system reports no reset to those who read. A selector still reports an error on the socket as
     * readiness for each operation, even for one that an established connection is never ready for.
     */
    val isReset: Boolean
        get() {
            if (!isOpen) return true
            return Selector.open().use { selector ->
                javaChannel().register(selector, SelectionKey.OP_CONNECT)
                selector.selectNow() > 0
            }
        }
}
