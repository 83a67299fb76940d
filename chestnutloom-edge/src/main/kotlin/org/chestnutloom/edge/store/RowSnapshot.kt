package org.chestnutloom.edge.store

/**
 * Rows read at one point in time.
 *
 * @property version the store's latest version at that time
 */
public class RowSnapshot(
    public val rows: List<StoredRow>,
    public val version: Long,
)
