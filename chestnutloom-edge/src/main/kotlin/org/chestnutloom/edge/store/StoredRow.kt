package org.chestnutloom.edge.store

/**
 * A row with its version in the store.
 *
 * @property value the content, or null if the row was removed
 * @property version increases with each write of the row
 */
public class StoredRow(
    public val key: RowKey,
    public val value: ByteArray?,
    public val version: Long,
)
