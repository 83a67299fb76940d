package org.chestnutloom.gateway.control

import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.VmList
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerLink

/**
 * What the control plane uses of the world around it.
 *
 * @property linkFactory makes the link to the gateway with the given id at an address
 */
internal class ControlPlatform(
    val table: TableStore,
    val objects: ObjectStore,
    val vms: VmList,
    val decoder: DocumentDecoder,
    val linkFactory: (PeerAddress, String) -> PeerLink,
)
