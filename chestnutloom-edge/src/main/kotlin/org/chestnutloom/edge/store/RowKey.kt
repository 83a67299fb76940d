package org.chestnutloom.edge.store

/**
 * Names one row of the platform's store.
 *
 * @property partition rows of one partition are changed together at the price of a single write
 */
public data class RowKey(
    public val table: String,
    public val partition: String,
    public val key: String,
)
