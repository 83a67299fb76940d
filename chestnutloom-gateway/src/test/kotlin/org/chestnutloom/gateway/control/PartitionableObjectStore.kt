package org.chestnutloom.gateway.control

import arrow.core.left
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.StoreFailure

/** A view of the object store that is partitioned together with [table]. */
internal class PartitionableObjectStore(
    private val objects: ObjectStore,
    private val table: PartitionableTable,
) : ObjectStore {
    override suspend fun put(
        name: String,
        bytes: ByteArray,
    ) = if (table.isPartitioned) StoreFailure.Unavailable("partitioned").left() else objects.put(name, bytes)

    override suspend fun get(name: String) =
        if (table.isPartitioned) StoreFailure.Unavailable("partitioned").left() else objects.get(name)
}
