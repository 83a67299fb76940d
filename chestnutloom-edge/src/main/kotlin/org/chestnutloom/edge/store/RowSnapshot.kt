package org.chestnutloom.edge.store

/**
 * Rows as of one moment.
 *
 * @property version the store's newest version at that moment
 */
public class RowSnapshot(
    public val rows: List<StoredRow>,
    public val version: Long,
)
