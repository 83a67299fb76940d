package org.chestnutloom.gateway.control

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.KeyId

/** Authenticates clients by the access keys of the environment. */
public interface KeyDirectory {
    /**
     * Returns the client with the key [bearer], or refuses with `unauthorized`, with `gateway_stale` without a fresh
     * proof, or with `store_unavailable` if the key cannot be read.
     */
    public suspend fun authenticate(bearer: String?): Either<Refusal, Caller>

    /** Returns whether [key] is withdrawn, so that no new work may start with it. */
    public fun isWithdrawn(key: KeyId): Boolean

    /** Emits each key when this gateway learns that it is withdrawn. */
    public val withdrawals: Flow<KeyId>
}
