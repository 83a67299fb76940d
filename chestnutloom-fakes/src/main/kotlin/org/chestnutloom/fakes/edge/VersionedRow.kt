package org.chestnutloom.fakes.edge

/**
 * A row of [RowStoreStandIn], or a condition on one.
 *
 * @property value the content in base64, or null for a removed row, a removal or a condition
 * @property version the version of the row, or the version that a condition requires
 */
internal data class VersionedRow(
    val table: String,
    val partition: String,
    val key: String,
    val value: String?,
    val version: Long,
)
