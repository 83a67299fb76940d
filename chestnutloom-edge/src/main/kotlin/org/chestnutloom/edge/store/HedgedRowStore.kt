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
 * Sends a second call to [store] when the response to the first is late, and uses whichever response arrives first.
 *
 * The response to an applied change can be lost. Sending a change twice is safe: its conditions hold only once, and
 * rows without conditions get the same value again. A conflict then contains the rows that the change itself wrote.
 */
internal class HedgedRowStore(
    private val store: RowStore,
) : RowStore {
    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> = hedged { store.read(table, partition) }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> = hedged { store.change(change) }

    /** The second watch does not wait for a change, so that it responds before the first one times out. */
    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> =
        coroutineScope {
            val first = async { store.watch(table, version, wait) }
            val response = withTimeoutOrNull(wait + WATCH_HEDGE_DELAY) { first.await() }
            if (response != null) return@coroutineScope response
            val second = async { store.watch(table, version, Duration.ZERO) }
            select {
                first.onAwait { if (it.leftOrNull() is WatchFailure.Failed) second.await() else it }
                second.onAwait { if (it.leftOrNull() is WatchFailure.Failed) first.await() else it }
            }.also { coroutineContext.cancelChildren() }
        }

    private suspend fun <T : Any> hedged(call: suspend () -> T): T =
        coroutineScope {
            val first = async { call() }
            val response = withTimeoutOrNull(HEDGE_DELAY) { first.await() }
            if (response != null) return@coroutineScope response
            val second = async { call() }
            select {
                first.onAwait { it }
                second.onAwait { it }
            }.also { coroutineContext.cancelChildren() }
        }

    private companion object {
        /** Well above the normal latency of the store. A slower store gets every read and change twice. */
        private val HEDGE_DELAY = 200.milliseconds

        /** Above the latency of a slow store, and short enough for a change to take effect in its time. */
        private val WATCH_HEDGE_DELAY = 500.milliseconds
    }
}
