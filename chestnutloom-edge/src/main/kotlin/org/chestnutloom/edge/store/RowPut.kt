package org.chestnutloom.edge.store

/** A row that a change writes. */
public class RowPut(
    public val key: RowKey,
    public val value: ByteArray,
)
