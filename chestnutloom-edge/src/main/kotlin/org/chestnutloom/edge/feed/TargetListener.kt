package org.chestnutloom.edge.feed

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.store.StoreHealth
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.id.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Applies changes of the target table to the directory. A malformed row counts as missing.
 *
 * Rows expire while targets cannot reach the store. The removal of a target whose row is missing right after an outage
 * is therefore deferred, so that live targets can write their rows again.
 */
internal class TargetListener(
    private val decoder: RowDecoder,
    private val directory: TargetDirectory,
    private val health: StoreHealth,
    private val scope: CoroutineScope,
) : TableListener {
    private val listed = HashSet<TargetId>()

    override fun onSnapshot(rows: List<StoredRow>) {
        val entries = rows.mapNotNull(::entryOf)
        listed.clear()
        listed += entries.map { it.id }
        directory.markLoaded()
        directory.all
            .map { it.entry.id }
            .filterNot { it in listed }
            .forEach(::removeOrDefer)
        entries.forEach(directory::update)
    }

    override fun onChange(rows: List<StoredRow>) {
        rows.forEach(::onChange)
    }

    private fun onChange(row: StoredRow) {
        val entry = entryOf(row)
        if (entry != null) {
            listed += entry.id
            directory.update(entry)
        } else {
            listed -= decoder.targetId(row)
            removeOrDefer(decoder.targetId(row))
        }
    }

    private fun removeOrDefer(id: TargetId) {
        val wait = health.sinceRecovery?.let { REREGISTRATION_TIME - it } ?: Duration.ZERO
        if (wait <= Duration.ZERO) return directory.remove(id)
        logger.event("target_missing_after_outage", "target" to id, "wait_ms" to wait.inWholeMilliseconds)
        scope.launch {
            delay(wait)
            if (id !in listed) directory.remove(id)
        }
    }

    private fun entryOf(row: StoredRow): TargetEntry? {
        if (row.value == null) return null
        return decoder
            .decodeTarget(row)
            .onLeft { logger.warnEvent("target_malformed", "target" to it.key, "detail" to it.detail) }
            .getOrNull()
    }

    private companion object {
        /** Time after an outage within which live targets have written their rows again. */
        private val REREGISTRATION_TIME = 2_200.milliseconds
    }
}
