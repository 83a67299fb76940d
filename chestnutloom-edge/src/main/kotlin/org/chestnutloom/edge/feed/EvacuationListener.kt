package org.chestnutloom.edge.feed

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.availability.Evacuations
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.edge.target.TargetDirectory

private val logger = KotlinLogging.logger {}

/**
 * Applies the rows by which operators evacuate failure domains.
 *
 * A malformed row neither starts nor ends an evacuation. A failure domain without targets is logged but remembered,
 * because its targets may register later.
 */
internal class EvacuationListener(
    private val decoder: RowDecoder,
    private val directory: TargetDirectory,
    private val evacuations: Evacuations,
) : TableListener {
    override fun onSnapshot(rows: List<StoredRow>) {
        val domains = rows.filter { it.value != null }.mapNotNull(::evacuatedDomain)
        evacuations.replaceAll(domains.toSet())
    }

    override fun onChange(rows: List<StoredRow>) {
        rows.forEach { row ->
            if (row.value == null) {
                decoder.evacuatedDomain(row)?.let(evacuations::end)
            } else {
                evacuatedDomain(row)?.let(evacuations::start)
            }
        }
    }

    /** Returns the failure domain that [row] evacuates, or null if it evacuates none. */
    private fun evacuatedDomain(row: StoredRow): String? {
        val domain = decoder.evacuatedDomain(row) ?: return null
        val decoded = decoder.decodeEvacuation(row)
        decoded.onLeft { logger.warnEvent("evacuation_malformed", "failure_domain" to domain, "detail" to it.detail) }
        val isInForce = evacuations.isEvacuated(domain)
        if (decoded.isLeft()) return domain.takeIf { isInForce }
        if (!isInForce && directory.isLoaded && directory.all.none { it.entry.failureDomain == domain }) {
            logger.warnEvent("evacuation_of_unknown_domain", "failure_domain" to domain)
        }
        return domain
    }
}
