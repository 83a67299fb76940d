package org.chestnutloom.gateway.control

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.KeyId

/** Authenticates clients by the access keys of the environment. */
public interface KeyDirectory {
    /**
     * Returns the client that the access key [bearer] belongs to.
     *
     * Refuses with `unauthorized` if the key is missing, unknown or withdrawn, with `gateway_stale` if the freshness
     * proof has expired or no configuration has been read, and with `store_unavailable` if the key cannot be read.
     */
    public suspend fun authenticate(bearer: String?): Either<Refusal, Caller>

    /** Returns whether [key] is withdrawn, so that no new work may start with it. */
    public fun isWithdrawn(key: KeyId): Boolean

    /** Emits each key when this gateway learns that it is withdrawn. */
    public val withdrawals: Flow<KeyId>
}
