package org.chestnutloom.config

import kotlinx.serialization.Serializable
import org.chestnutloom.id.KeyId

/** The row `key-change/{environment}/{version}`: one key change, so that gateways reread only that key. */
@Serializable
public data class KeyChange(
    public val version: Long,
    public val id: KeyId,
) {
    public companion object {
        private const val VERSION_DIGITS = 12

        /** Returns the row key of [version]; keys sort by version. */
        public fun rowKey(
            environment: String,
            version: Long,
        ): String = prefix(environment) + version.toString().padStart(VERSION_DIGITS, '0')

        /** Returns the key prefix of all key changes of [environment]. */
        public fun prefix(environment: String): String = "key-change/$environment/"
    }
}
