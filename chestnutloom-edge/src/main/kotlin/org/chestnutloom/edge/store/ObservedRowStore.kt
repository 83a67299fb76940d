package org.chestnutloom.edge.store

import arrow.core.Either
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration

/** Passes calls on to [store], and notes in [contact] whether it answers. */
internal class ObservedRowStore(
    private val store: RowStore,
    private val contact: StoreContact,
) : RowStore {
    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> =
        store.read(table, partition).onLeft { contact.failed(it.toString()) }.onRight { contact.answered() }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> =
        store
            .change(change)
            .onLeft { if (it is ChangeFailure.Failed) contact.failed(it.cause.toString()) else contact.answered() }
            .onRight { contact.answered() }

    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> =
        store
            .watch(table, version, wait)
            .onLeft { if (it is WatchFailure.Failed) contact.failed(it.cause.toString()) else contact.answered() }
            .onRight { contact.answered() }
}
