package org.chestnutloom.config

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat

/**
 * An access key in the form that callers present: `cl_{id}_{secret}`.
 *
 * [toString] omits the secret; [bearer] includes it.
 */
public class AccessKey private constructor(
    public val id: KeyId,
    private val secret: String,
) {
    /** Returns the bearer token, which contains the secret. */
    public fun bearer(): String = "$KEY_PREFIX${id.value}_$secret"

    /** Returns whether [record] was created from this key; withdrawal is not checked. */
    public fun matches(record: KeyRecord): Boolean =
        record.id == id && MessageDigest.isEqual(hash(record.salt).toByteArray(), record.hash.toByteArray())

    /** Returns the record to store for this key, with a new salt. */
    public fun toRecord(
        account: ClientAccountId,
        createdAtMs: Long,
    ): KeyRecord {
        val salt = randomHex(SALT_BYTES)
        return KeyRecord(id, account, salt, hash(salt), createdAtMs)
    }

    override fun toString(): String = "AccessKey($id)"

    private fun hash(salt: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(salt.toByteArray())
        return HexFormat.of().formatHex(digest.digest(secret.toByteArray()))
    }

    public companion object {
        private const val KEY_PREFIX = "cl_"
        private const val ID_BYTES = 6
        private const val SECRET_BYTES = 24
        private const val SALT_BYTES = 16
        private val pattern = Regex("cl_([0-9a-f]{2,64})_([0-9a-f]{16,128})")

        /** Generates a key with a random id and secret. */
        public fun generate(): AccessKey = AccessKey(KeyId(randomHex(ID_BYTES)), randomHex(SECRET_BYTES))

        /** Parses a bearer token, or returns null if [bearer] is malformed. */
        public fun parse(bearer: String): AccessKey? {
            val match = pattern.matchEntire(bearer) ?: return null
            return AccessKey(KeyId(match.groupValues[1]), match.groupValues[2])
        }

        private fun randomHex(bytes: Int): String {
            val random = ByteArray(bytes)
            SecureRandom().nextBytes(random)
            return HexFormat.of().formatHex(random)
        }
    }
}
