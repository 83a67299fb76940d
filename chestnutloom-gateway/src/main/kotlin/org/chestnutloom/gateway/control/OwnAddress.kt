package org.chestnutloom.gateway.control

import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.wire.link.PeerAddress

/** The link address of this gateway, which is known once its server is listening. */
internal class OwnAddress {
    @Volatile
    private var address: PeerAddress? = null

    fun set(newAddress: PeerAddress) {
        address = newAddress
    }

    fun applyTo(record: LeaseRecord): LeaseRecord =
        address?.let { record.copy(host = it.host, port = it.port) } ?: record
}
