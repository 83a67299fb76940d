package org.chestnutloom.gateway.control

import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.VmList
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerLink

/**
 * The external services of the control plane.
 *
 * @property linkFactory creates a link to the gateway at an address, given its id
 */
internal class ControlDependencies(
    val table: TableStore,
    val objects: ObjectStore,
    val vms: VmList,
    val decoder: DocumentDecoder,
    val linkFactory: (PeerAddress, String) -> PeerLink,
)
