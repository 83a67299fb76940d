package org.chestnutloom.config

import kotlinx.serialization.Serializable
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId

/**
 * The row `key/{environment}/{id}`: one access key, without its secret.
 *
 * @property salt random bytes, in hexadecimal
 * @property hash SHA-256 of the salt followed by the secret, in hexadecimal
 * @property withdrawnAtMs when the key was withdrawn, in milliseconds since the Unix epoch, or null
 */
@Serializable
public data class KeyRecord(
    public val id: KeyId,
    public val account: ClientAccountId,
    public val salt: String,
    public val hash: String,
    public val createdAtMs: Long,
    public val withdrawnAtMs: Long? = null,
) {
    public companion object {
        /** Returns the row key of [id]. */
        public fun rowKey(
            environment: String,
            id: KeyId,
        ): String = prefix(environment) + id.value

        /** Returns the key prefix of all access keys of [environment]. */
        public fun prefix(environment: String): String = "key/$environment/"
    }
}
