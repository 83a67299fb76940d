package org.chestnutloom.wire.link

import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.SocketAddress
import java.net.InetAddress

/**
 * Returns the IP number and port of [address].
 *
 * Its host name is not asked for, as that looks the number up by name and blocks the thread where no resolver answers.
 */
internal fun peerAddressOf(address: SocketAddress): PeerAddress {
    val socketAddress = address as? InetSocketAddress
    val ip = socketAddress?.resolveAddress()?.let { InetAddress.getByAddress(it).hostAddress }
    return PeerAddress(ip.orEmpty(), socketAddress?.port ?: 0)
}
