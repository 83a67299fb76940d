package org.chestnutloom.gateway.control

import arrow.core.Either
import kotlinx.coroutines.flow.Flow
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.KeyId

/** Knows the access keys of the environment. */
public interface KeyDirectory {
    /** Finds the caller that shows [bearer], or refuses with `unauthorized` or, without a fresh proof, `gateway_stale`. */
    public suspend fun authenticate(bearer: String?): Either<Refusal, Caller>

    /** Tells whether [key] may still be used for work that has not started. */
    public fun isWithdrawn(key: KeyId): Boolean

    /** Emits each key that is withdrawn from now on. */
    public val withdrawals: Flow<KeyId>
}
