package org.chestnutloom.edge.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration

/** Row store in memory with configurable failures. */
internal class InMemoryRowStore : RowStore {
    private val rows = LinkedHashMap<RowKey, StoredRow>()
    private var version = 0L

    /** Whether reads and changes fail. */
    var isUnavailable = false

    /** Whether the next change is applied but its response is lost. */
    var losesNextResponse = false

    /** The number of calls, including failed ones. */
    var calls = 0
        private set

    override suspend fun read(
        table: String,
        partition: String,
    ): Either<StoreFailure, RowSnapshot> {
        calls++
        if (isUnavailable) return UNAVAILABLE.left()
        return RowSnapshot(
            rows.values.filter { it.key.table == table && it.key.partition == partition },
            version,
        ).right()
    }

    override suspend fun change(change: RowChange): Either<ChangeFailure, Long> {
        calls++
        if (isUnavailable) return ChangeFailure.Failed(UNAVAILABLE).left()
        if (!fits(change)) return ChangeFailure.Failed(TOO_LARGE).left()
        if (change.conditions.any { (rows[it.key]?.version ?: 0) != it.version }) {
            return ChangeFailure.Conflict(change.conditions.mapNotNull { rows[it.key] }).left()
        }
        version++
        change.puts.forEach { rows[it.key] = StoredRow(it.key, it.value, version) }
        change.removals.forEach { rows.remove(it) }
        if (losesNextResponse) {
            losesNextResponse = false
            return ChangeFailure.Failed(StoreFailure.OutcomeUnknown("the response was lost")).left()
        }
        return version.right()
    }

    /** Returns whether [change] is within the limits of the protocol page. */
    private fun fits(change: RowChange): Boolean {
        val values = change.puts.map { (it.value.size + 2) / 3 * 4 }
        val entries = change.conditions.size + change.puts.size + change.removals.size
        val names = (change.puts.map { it.key } + change.removals).flatMap { listOf(it.table, it.partition, it.key) }
        return entries <= 100 &&
            values.sum() < 1024 * 1024 &&
            values.all { it <= 65_536 } &&
            names.all { it.length <= 200 }
    }

    override suspend fun watch(
        table: String,
        version: Long,
        wait: Duration,
    ): Either<WatchFailure, RowSnapshot> {
        calls++
        return WatchFailure.HistoryLost.left()
    }

    private companion object {
        private val TOO_LARGE = StoreFailure.Unavailable("the call exceeds a limit")
        private val UNAVAILABLE = StoreFailure.Unavailable("the store is unavailable")
    }
}
