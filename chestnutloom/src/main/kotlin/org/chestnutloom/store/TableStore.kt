package org.chestnutloom.store

import arrow.core.Either

/** The platform's transactional table service. */
public interface TableStore {
    /** Reads rows from a consistent snapshot; keys without a row are omitted. */
    public suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>>

    /** Reads up to [limit] rows whose key starts with [prefix] and is greater than [afterKey]. */
    public suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): Either<StoreFailure, RowPage>

    /** Applies [transaction] atomically and returns the written rows, without the deleted ones. */
    public suspend fun transact(transaction: Transaction): Either<StoreFailure, List<Row>>
}
