package org.chestnutloom.edge.feed

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.WatchFailure
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Reads and watches the rows of [table] in its unnamed partition. */
internal class TableWatcher(
    private val store: RowStore,
    private val table: String,
    private val listener: TableListener,
    private val clock: Clock,
) {
    private var failingSince: Duration? = null

    /** Reads the table and watches for changes until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            val version = readAll() ?: continue
            follow(version)
        }
    }

    private suspend fun readAll(): Long? {
        val snapshot =
            store.read(table, UNNAMED_PARTITION).getOrElse {
                recordFailure(it.toString())
                return null
            }
        recordSuccess()
        if (!deliver { listener.onSnapshot(snapshot.rows) }) return null
        listener.onConfirmed()
        return snapshot.version
    }

    /** Delivers changes after [start] until the store has discarded part of their history. */
    private suspend fun follow(start: Long) {
        var version = start
        while (currentCoroutineContext().isActive) {
            val changes =
                store.watch(table, version, WATCH_WAIT).getOrElse {
                    if (it is WatchFailure.HistoryLost) return logHistoryLost(version)
                    recordFailure(it.toString())
                    null
                } ?: continue
            recordSuccess()
            version = maxOf(version, changes.version)
            val rows = changes.rows.filter { it.key.partition == UNNAMED_PARTITION }
            if (rows.isNotEmpty() && !deliver { listener.onChange(rows) }) return
            listener.onConfirmed()
        }
    }

    /**
     * Hands rows to the listener, and returns false if it fails. That must not end the feed: the table is read again, and
     * what the listener knows is not confirmed meanwhile.
     */
    private suspend fun deliver(action: () -> Unit): Boolean {
        try {
            action()
            return true
        } catch (e: RuntimeException) {
            logger.warnEvent(
                "watch_delivery_failed",
                "table" to table,
                "cause" to e.javaClass.simpleName,
                "detail" to e.stackTraceToString(),
            )
        }
        delay(RETRY_DELAY)
        return false
    }

    private fun logHistoryLost(version: Long) {
        logger.event("watch_history_lost", "table" to table, "version" to version)
    }

    private suspend fun recordFailure(detail: String) {
        if (failingSince == null) {
            failingSince = clock.elapsed()
            logger.warnEvent("watch_lost", "table" to table, "detail" to detail)
        }
        delay(RETRY_DELAY)
    }

    private fun recordSuccess() {
        val since = failingSince ?: return
        failingSince = null
        logger.event("watch_regained", "table" to table, "after_ms" to (clock.elapsed() - since).inWholeMilliseconds)
    }

    private companion object {
        private const val UNNAMED_PARTITION = ""

        /** Short enough to detect a silent connection well before a change has to take effect. */
        private val WATCH_WAIT = 1_000.milliseconds
        private val RETRY_DELAY = 150.milliseconds
    }
}
