package org.chestnutloom.cli.store

import kotlinx.serialization.Serializable

/** The row `drain/{environment}/{target}`: the target receives no new calls while the row exists. */
@Serializable
internal data class DrainRecord(
    val author: String,
    val createdAtMs: Long,
) {
    companion object {
        /** Returns the key of the row of [target]. */
        fun rowKey(
            environment: String,
            target: String,
        ): String = prefix(environment) + target

        /** Returns the key prefix of all drain rows of [environment]. */
        fun prefix(environment: String): String = "drain/$environment/"
    }
}
