package org.chestnutloom.edge.feed

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetEntry
import org.chestnutloom.platform.log.warnEvent

private val logger = KotlinLogging.logger {}

/** Takes over what targets write of themselves; a row that cannot be read names no target. */
internal class TargetListener(
    private val codec: EnvironmentCodec,
    private val directory: TargetDirectory,
) : TableListener {
    override fun replaced(rows: List<StoredRow>) {
        directory.replaceAll(rows.mapNotNull(::entryOf))
    }

    override fun changed(rows: List<StoredRow>) {
        rows.forEach { row -> entryOf(row)?.let(directory::update) ?: directory.remove(codec.targetId(row)) }
    }

    private fun entryOf(row: StoredRow): TargetEntry? {
        if (row.value == null) return null
        return codec
            .target(row)
            .onLeft { logger.warnEvent("target_malformed", "target" to it.key, "detail" to it.detail) }
            .getOrNull()
    }
}
