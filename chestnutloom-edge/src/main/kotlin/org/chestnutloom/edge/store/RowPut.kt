package org.chestnutloom.edge.store

/** A row to be written by a change. */
public class RowPut(
    public val key: RowKey,
    public val value: ByteArray,
)
