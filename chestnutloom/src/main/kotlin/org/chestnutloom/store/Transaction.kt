package org.chestnutloom.store

import kotlinx.serialization.Serializable

/** A set of writes that take effect together, and only if every condition holds. */
@Serializable
public data class Transaction(
    public val conditions: List<Condition>,
    public val writes: List<RowWrite>,
)
