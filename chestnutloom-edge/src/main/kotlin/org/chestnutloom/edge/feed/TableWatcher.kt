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

/** Follows the rows of [table] in its unnamed partition. */
internal class TableWatcher(
    private val store: RowStore,
    private val table: String,
    private val listener: TableListener,
    private val clock: Clock,
) {
    private var lostAt: Duration? = null

    /** Reads the table and follows its changes until cancelled. */
    suspend fun run() {
        while (currentCoroutineContext().isActive) {
            val version = readAll() ?: continue
            follow(version)
        }
    }

    private suspend fun readAll(): Long? {
        val snapshot =
            store.read(table, UNNAMED_PARTITION).getOrElse {
                failed(it.toString())
                return null
            }
        heard()
        listener.onSnapshot(snapshot.rows)
        listener.onConfirmed()
        return snapshot.version
    }

    /** Follows changes after [start] until the store no longer has them. */
    private suspend fun follow(start: Long) {
        var version = start
        while (currentCoroutineContext().isActive) {
            val news =
                store.watch(table, version, WATCH_WAIT).getOrElse {
                    if (it is WatchFailure.HistoryLost) return historyLost(version)
                    failed(it.toString())
                    null
                } ?: continue
            heard()
            version = maxOf(version, news.version)
            val rows = news.rows.filter { it.key.partition == UNNAMED_PARTITION }
            if (rows.isNotEmpty()) listener.onChange(rows)
            listener.onConfirmed()
        }
    }

    private fun historyLost(version: Long) {
        logger.event("watch_history_lost", "table" to table, "version" to version)
    }

    private suspend fun failed(detail: String) {
        if (lostAt == null) {
            lostAt = clock.elapsed()
            logger.warnEvent("watch_lost", "table" to table, "detail" to detail)
        }
        delay(RETRY_PAUSE)
    }

    private fun heard() {
        val since = lostAt ?: return
        lostAt = null
        logger.event("watch_regained", "table" to table, "after_ms" to (clock.elapsed() - since).inWholeMilliseconds)
    }

    private companion object {
        private const val UNNAMED_PARTITION = ""

        /** Short enough to notice a connection that went silent well before a change has to be in force. */
        private val WATCH_WAIT = 1_000.milliseconds
        private val RETRY_PAUSE = 150.milliseconds
    }
}
