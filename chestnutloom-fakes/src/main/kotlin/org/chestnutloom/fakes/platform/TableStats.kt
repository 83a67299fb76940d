package org.chestnutloom.fakes.platform

import kotlinx.serialization.Serializable

/**
 * What a table service did since its start.
 *
 * @property reads requests that read or scanned
 * @property transactions transactions that took effect
 * @property conflicts transactions whose conditions did not hold
 * @property rowsWritten rows written or deleted
 * @property receivedBytes bytes of request bodies
 * @property sentBytes bytes of answers
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
