package org.chestnutloom.edge.feed

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.store.StoredRow

private val logger = KotlinLogging.logger {}

/** Puts what operators write in force. */
internal class ConfigurationListener(
    private val codec: EnvironmentCodec,
    private val holder: ConfigurationHolder,
) : TableListener {
    override fun replaced(rows: List<StoredRow>) {
        changed(rows)
    }

    override fun changed(rows: List<StoredRow>) {
        rows.filter { it.value != null && codec.isConfiguration(it) }.forEach(::offer)
    }

    override fun confirmed() {
        holder.confirm()
    }

    private fun offer(row: StoredRow) {
        codec
            .configuration(row)
            .onLeft { logger.warnEvent("configuration_malformed", "version" to row.version, "detail" to it.detail) }
            .onRight(holder::offer)
    }
}
