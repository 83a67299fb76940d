package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * A write of one row in a transaction.
 *
 * @property key the row's key
 * @property value the new content as JSON text, or null to delete the row
 */
@Serializable
public data class RowWrite(
    public val key: String,
    public val value: String?,
)
