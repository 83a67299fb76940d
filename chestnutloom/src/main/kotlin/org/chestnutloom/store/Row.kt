package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * One row of the table service.
 *
 * @property key the row's unique key, such as `program/p1`
 * @property version increases with each write of the row; never 0 for an existing row
 * @property value the row's content, as JSON text
 */
@Serializable
public data class Row(
    public val key: String,
    public val version: Long,
    public val value: String,
)
