package org.chestnutloom.store

import kotlinx.serialization.Serializable

/** A set of writes that take effect atomically, and only if all conditions hold. */
@Serializable
public data class Transaction(
    public val conditions: List<Condition>,
    public val writes: List<RowWrite>,
)
