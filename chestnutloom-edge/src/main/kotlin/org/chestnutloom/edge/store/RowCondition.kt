package org.chestnutloom.edge.store

/**
 * A requirement that a change makes of one row.
 *
 * @property version the version that the row must have; 0 requires that there is no such row
 */
public data class RowCondition(
    public val key: RowKey,
    public val version: Long,
)
