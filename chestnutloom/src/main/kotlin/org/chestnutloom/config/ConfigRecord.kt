package org.chestnutloom.config

import kotlinx.serialization.Serializable

/**
 * The row `config/{environment}/{version}`: one version of the environment document.
 *
 * @property digest SHA-256 of [document]'s UTF-8 bytes, in hexadecimal
 * @property author the operator who made the change
 * @property createdAtMs creation time, in milliseconds since the Unix epoch
 * @property promotedFrom the environment from which the document was promoted, or null
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

        /** Returns the row key of [version]; keys sort by version. */
        public fun rowKey(
            environment: String,
            version: Long,
        ): String = prefix(environment) + version.toString().padStart(VERSION_DIGITS, '0')

        /** Returns the key prefix of all versions of [environment]. */
        public fun prefix(environment: String): String = "config/$environment/"
    }
}
