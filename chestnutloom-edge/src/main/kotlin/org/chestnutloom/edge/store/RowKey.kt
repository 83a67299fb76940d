package org.chestnutloom.edge.store

/**
 * Identifies a row of the platform's store.
 *
 * @property partition a subdivision of the table; a change of several rows in one partition costs a single write
 */
public data class RowKey(
    public val table: String,
    public val partition: String,
    public val key: String,
)
