package org.chestnutloom.edge.store

import arrow.core.Either
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration

/** The platform's store, which holds rows in tables and partitions. */
public interface RowStore {
    /** Reads a consistent snapshot of all rows of [partition] in [table]. */
    public suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot>

    /** Applies [change] atomically, and returns the store's version after it. */
    public suspend fun change(change: RowChange): Either<ChangeFailure, Long>

    /** Returns the rows of [table] that changed after [version], waiting up to [wait] for the first change. */
    public suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot>
}
