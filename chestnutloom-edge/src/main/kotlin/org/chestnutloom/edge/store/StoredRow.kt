package org.chestnutloom.edge.store

/**
 * One row as the store holds it.
 *
 * @property value the content, or null when the row was removed
 * @property version grows with each write of the row
 */
public class StoredRow(
    public val key: RowKey,
    public val value: ByteArray?,
    public val version: Long,
)
