package org.chestnutloom.edge.store

import arrow.core.Either
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration

/** Delegates to [store] and records in [health] whether it responds. */
internal class HealthTrackingRowStore(
    private val store: RowStore,
    private val health: StoreHealth,
) : RowStore {
    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> =
        store.read(table, partition).onLeft { health.recordFailure(it.toString()) }.onRight { health.recordSuccess() }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> =
        store
            .change(change)
            .onLeft {
                if (it is ChangeFailure.Failed) {
                    health.recordFailure(it.cause.toString())
                } else {
                    health.recordSuccess()
                }
            }.onRight { health.recordSuccess() }

    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> =
        store
            .watch(table, version, wait)
            .onLeft {
                if (it is WatchFailure.Failed) {
                    health.recordFailure(it.cause.toString())
                } else {
                    health.recordSuccess()
                }
            }.onRight { health.recordSuccess() }
}
