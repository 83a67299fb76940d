package org.chestnutloom.edge.store

/** Writes and removals that are applied atomically if all conditions hold. */
public class RowChange(
    public val conditions: List<RowCondition> = emptyList(),
    public val puts: List<RowPut> = emptyList(),
    public val removals: List<RowKey> = emptyList(),
)
