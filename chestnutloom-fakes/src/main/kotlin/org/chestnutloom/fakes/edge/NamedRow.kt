package org.chestnutloom.fakes.edge

/**
 * A row of the row store's stand-in.
 *
 * @property value the content as base64, or null when the row was removed or is only named
 * @property version the row's version, or the one that it must have
 */
internal data class NamedRow(
    val table: String,
    val partition: String,
    val key: String,
    val value: String?,
    val version: Long,
)
