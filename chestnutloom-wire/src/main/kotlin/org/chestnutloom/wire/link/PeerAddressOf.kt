package org.chestnutloom.wire.link

import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.SocketAddress
import java.net.InetAddress

/**
 * Returns the IP address and port of [address].
 *
 * Reading the host name would trigger a reverse DNS lookup, which blocks the thread while no resolver responds.
 */
internal fun peerAddressOf(address: SocketAddress): PeerAddress {
    val socketAddress = address as? InetSocketAddress
    val ip = socketAddress?.resolveAddress()?.let { InetAddress.getByAddress(it).hostAddress }
    return PeerAddress(ip.orEmpty(), socketAddress?.port ?: 0)
}
