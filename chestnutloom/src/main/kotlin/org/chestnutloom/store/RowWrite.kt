package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * One row that a transaction writes.
 *
 * @property key the row's key
 * @property value the new content, or null to delete the row
 */
@Serializable
public data class RowWrite(
    public val key: String,
    public val value: String?,
)
