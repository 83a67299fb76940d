package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * A requirement that a transaction makes of one row.
 *
 * @property key the row's key
 * @property version the version the row must have; [ABSENT] requires that there is no such row
 */
@Serializable
public data class Condition(
    public val key: String,
    public val version: Long,
) {
    public companion object {
        /** The version that stands for a row that does not exist. */
        public const val ABSENT: Long = 0
    }
}
