package org.chestnutloom.store

import kotlinx.serialization.Serializable

/**
 * A precondition of a transaction on one row.
 *
 * @property key the row's key
 * @property version the required version of the row; [ABSENT] requires that the row does not exist
 */
@Serializable
public data class Condition(
    public val key: String,
    public val version: Long,
) {
    public companion object {
        /** The version of a row that does not exist. */
        public const val ABSENT: Long = 0
    }
}
