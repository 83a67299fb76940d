package org.chestnutloom.config

import kotlinx.serialization.Serializable

/**
 * The row `config/{environment}/{version}`: one version of the environment document.
 *
 * @property digest SHA-256 of [document]'s UTF-8 bytes, in hexadecimal
 * @property author the operator who made the change
 * @property createdAtMs time of the change, in milliseconds since 1970 UTC
 * @property promotedFrom the environment that the document was tried in, or null
 */
@Serializable
public data class ConfigRecord(
    public val version: Long,
    public val digest: String,
    public val document: String,
    public val author: String,
    public val createdAtMs: Long,
    public val promotedFrom: String? = null,
) {
    public companion object {
        private const val VERSION_DIGITS = 12

        /** Returns the key of the row of [version], which sorts by version. */
        public fun rowKey(
            environment: String,
            version: Long,
        ): String = prefix(environment) + version.toString().padStart(VERSION_DIGITS, '0')

        /** Returns the common start of the keys of all versions of [environment]. */
        public fun prefix(environment: String): String = "config/$environment/"
    }
}
