package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.right
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmList
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState

/** A VM list with the gateways that were started in [fleet]. */
internal class TestVmList(
    private val fleet: TestFleet,
) : VmList {
    override suspend fun read(): Either<StoreFailure, List<VmEntry>> =
        fleet.gateways.values
            .map { VmEntry(it.id, VmRole.GATEWAY, it.address.host, it.address.port, "siracusa", VmState.LIVE) }
            .right()
}
