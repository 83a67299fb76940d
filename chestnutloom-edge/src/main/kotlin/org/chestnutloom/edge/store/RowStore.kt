package org.chestnutloom.edge.store

import arrow.core.Either
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration

/** The platform's store of rows in tables and partitions. */
public interface RowStore {
    /** Reads all rows of [partition] in [table] as of one moment. */
    public suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot>

    /** Applies [change] as a whole or not at all, and returns the store's version of it. */
    public suspend fun change(change: RowChange): Either<ChangeFailure, Long>

    /** Returns the rows of [table] that changed after [version], waiting up to [wait] for the first. */
    public suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot>
}
