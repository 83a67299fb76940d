package org.chestnutloom.edge.feed

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.store.StoredRow

private val logger = KotlinLogging.logger {}

/** Applies the configuration that operators write to the store. */
internal class ConfigurationListener(
    private val decoder: RowDecoder,
    private val holder: ConfigurationHolder,
) : TableListener {
    override fun onSnapshot(rows: List<StoredRow>) {
        onChange(rows)
    }

    override fun onChange(rows: List<StoredRow>) {
        rows.filter { it.value != null && decoder.isConfiguration(it) }.forEach(::offer)
    }

    override fun onConfirmed() {
        holder.confirm()
    }

    private fun offer(row: StoredRow) {
        decoder
            .decodeConfiguration(row)
            .onLeft { logger.warnEvent("configuration_malformed", "version" to row.version, "detail" to it.detail) }
            .onRight(holder::offer)
    }
}
