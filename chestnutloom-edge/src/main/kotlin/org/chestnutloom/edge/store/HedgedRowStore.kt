package org.chestnutloom.edge.store

import arrow.core.Either
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Makes a call to [store] once more when its answer is late, and takes the answer that comes first.
 *
 * Answers can be lost after a change took effect. A change may be made twice, as its conditions hold only once and rows
 * without conditions get the same value again; a conflict then shows the change's own rows.
 */
internal class HedgedRowStore(
    private val store: RowStore,
) : RowStore {
    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> = hedged { store.read(table, partition) }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> = hedged { store.change(change) }

    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> = store.watch(table, version, wait)

    private suspend fun <T : Any> hedged(call: suspend () -> T): T =
        coroutineScope {
            val first = async { call() }
            val early = withTimeoutOrNull(HEDGE_AFTER) { first.await() }
            if (early != null) return@coroutineScope early
            val second = async { call() }
            select {
                first.onAwait { it }
                second.onAwait { it }
            }.also { coroutineContext.cancelChildren() }
        }

    private companion object {
        /** Well above what the store takes when it works; a slow store is asked twice. */
        private val HEDGE_AFTER = 200.milliseconds
    }
}
