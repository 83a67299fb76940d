package org.chestnutloom.edge.store

import arrow.core.Either
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration

/** Passes calls on to [store], and notes in [contact] whether it answers. */
internal class HealthTrackingRowStore(
    private val store: RowStore,
    private val contact: StoreHealth,
) : RowStore {
    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> =
        store.read(table, partition).onLeft { contact.recordFailure(it.toString()) }.onRight { contact.recordSuccess() }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> =
        store
            .change(change)
            .onLeft {
                if (it is ChangeFailure.Failed) {
                    contact.recordFailure(
                        it.cause.toString(),
                    )
                } else {
                    contact.recordSuccess()
                }
            }.onRight { contact.recordSuccess() }

    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> =
        store
            .watch(table, version, wait)
            .onLeft {
                if (it is WatchFailure.Failed) {
                    contact.recordFailure(
                        it.cause.toString(),
                    )
                } else {
                    contact.recordSuccess()
                }
            }.onRight { contact.recordSuccess() }
}
