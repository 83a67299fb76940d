package org.chestnutloom.edge.store

/** Writes and removals that take effect together, and only if every condition holds. */
public class RowChange(
    public val conditions: List<RowCondition> = emptyList(),
    public val puts: List<RowPut> = emptyList(),
    public val removals: List<RowKey> = emptyList(),
)
