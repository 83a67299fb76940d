package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import org.chestnutloom.store.Row
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction

/** A view of the table service for one gateway that can be partitioned from it. */
internal class PartitionableTable(
    private val table: TableStore,
) : TableStore {
    var isPartitioned = false

    override suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>> =
        unlessPartitioned { table.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ) = unlessPartitioned { table.scan(prefix, afterKey, limit) }

    override suspend fun transact(transaction: Transaction) = unlessPartitioned { table.transact(transaction) }

    private suspend fun <T> unlessPartitioned(work: suspend () -> Either<StoreFailure, T>): Either<StoreFailure, T> =
        if (isPartitioned) StoreFailure.Unavailable("partitioned").left() else work()
}
