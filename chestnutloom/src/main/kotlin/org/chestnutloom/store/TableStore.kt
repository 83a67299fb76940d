package org.chestnutloom.store

import arrow.core.Either

/** The platform's transactional table service. */
public interface TableStore {
    /** Reads rows at one point in time; keys without a row are left out. */
    public suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>>

    /** Reads up to [limit] rows whose key starts with [prefix] and comes after [afterKey]. */
    public suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): Either<StoreFailure, RowPage>

    /** Applies [transaction] as a whole or not at all, and returns the rows written, without those deleted. */
    public suspend fun transact(transaction: Transaction): Either<StoreFailure, List<Row>>
}
