package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * One page of a scan.
 *
 * @property rows the rows, in key order
 * @property hasMore whether more rows follow the last one
 */
@Serializable
public data class RowPage(
    public val rows: List<Row>,
    public val hasMore: Boolean,
)
