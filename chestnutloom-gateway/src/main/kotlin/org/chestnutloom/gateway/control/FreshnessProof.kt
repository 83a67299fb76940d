package org.chestnutloom.gateway.control

import arrow.core.Either
import org.chestnutloom.call.Refusal

/** Checks that the lease, configuration and keys of this gateway are provably current. */
public interface FreshnessProof {
    /** Refuses with `gateway_stale` (not run) if the proof is too old; must be called right before each side effect. */
    public fun check(): Either<Refusal, Unit>

    /** The age of the proof in milliseconds, or null if there is none. */
    public fun ageMs(): Long?
}
