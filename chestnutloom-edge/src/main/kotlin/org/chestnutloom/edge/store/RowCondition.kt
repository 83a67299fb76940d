package org.chestnutloom.edge.store

/**
 * A precondition of a change on the version of one row.
 *
 * @property version the required version of the row; 0 requires that the row does not exist
 */
public data class RowCondition(
    public val key: RowKey,
    public val version: Long,
)
