package org.chestnutloom.config

import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat

/**
 * An access key as its caller shows it: `cl_{id}_{secret}`.
 *
 * Its text form never includes the secret; [bearer] does.
 */
public class AccessKey private constructor(
    public val id: KeyId,
    private val secret: String,
) {
    /** Returns the bearer token, which holds the secret. */
    public fun bearer(): String = "$PREFIX${id.value}_$secret"

    /** Tells whether this is the key that [record] was made from; it ignores withdrawal. */
    public fun matches(record: KeyRecord): Boolean =
        record.id == id && MessageDigest.isEqual(hash(record.salt).toByteArray(), record.hash.toByteArray())

    /** Returns the row to store for this key. */
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
        private const val PREFIX = "cl_"
        private const val ID_BYTES = 6
        private const val SECRET_BYTES = 24
        private const val SALT_BYTES = 16
        private val form = Regex("cl_([0-9a-f]{2,64})_([0-9a-f]{16,128})")

        /** Makes a new key with a random id and secret. */
        public fun generate(): AccessKey = AccessKey(KeyId(randomHex(ID_BYTES)), randomHex(SECRET_BYTES))

        /** Reads a bearer token, or returns null when [bearer] has not the form of one. */
        public fun parse(bearer: String): AccessKey? {
            val match = form.matchEntire(bearer) ?: return null
            return AccessKey(KeyId(match.groupValues[1]), match.groupValues[2])
        }

        private fun randomHex(bytes: Int): String {
            val random = ByteArray(bytes)
            SecureRandom().nextBytes(random)
            return HexFormat.of().formatHex(random)
        }
    }
}
