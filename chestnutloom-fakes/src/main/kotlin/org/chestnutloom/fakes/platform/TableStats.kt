package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/**
 * Counters of a table service since its start.
 *
 * @property reads read and scan requests
 * @property transactions committed transactions
 * @property conflicts transactions with a condition that did not hold
 * @property rowsWritten rows written or deleted
 * @property receivedBytes bytes of request bodies
 * @property sentBytes bytes of response bodies
 */
@Serializable
public data class TableStats(
    public val reads: Long,
    public val transactions: Long,
    public val conflicts: Long,
    public val rowsWritten: Long,
    public val receivedBytes: Long,
    public val sentBytes: Long,
)
