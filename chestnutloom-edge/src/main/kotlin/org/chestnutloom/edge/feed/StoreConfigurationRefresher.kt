package org.chestnutloom.edge.feed

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.config.ConfigurationRefresher
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Reads the configuration from [table] of [store] beside its feed; confined to the event loop.
 *
 * Calls share a read that has not begun when they come. Reads begin at a limited rate, whatever callers send.
 */
internal class StoreConfigurationRefresher(
    private val store: RowStore,
    private val table: String,
    private val listener: ConfigurationListener,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : ConfigurationRefresher {
    /** The read that has not begun yet, or null if there is none. */
    private var next: Deferred<Boolean>? = null
    private var lastBeganAt: Duration? = null

    override suspend fun refresh(): Boolean {
        val read = next ?: scope.async(start = CoroutineStart.LAZY) { read() }.also { next = it }
        return withTimeoutOrNull(TIMEOUT) { read.await() } ?: false
    }

    private suspend fun read(): Boolean {
        lastBeganAt?.let { delay(it + MIN_INTERVAL - clock.elapsed()) }
        next = null
        lastBeganAt = clock.elapsed()
        val rows = store.read(table, UNNAMED_PARTITION).getOrElse { return logRead(it.toString()) }.rows
        listener.onSnapshot(rows)
        listener.onConfirmed()
        return logRead(failure = null)
    }

    private fun logRead(failure: String?): Boolean {
        logger.event("configuration_read_again", "failure" to (failure ?: "none"))
        return failure == null
    }

    private companion object {
        private const val UNNAMED_PARTITION = ""
        private val MIN_INTERVAL = 100.milliseconds
        private val TIMEOUT = 1.seconds
    }
}
