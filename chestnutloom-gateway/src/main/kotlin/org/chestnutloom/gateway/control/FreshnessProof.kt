package org.chestnutloom.gateway.control

import arrow.core.Either
import org.chestnutloom.call.Refusal

/** Knows whether this gateway can prove that its lease, configuration and keys are current. */
public interface FreshnessProof {
    /** Refuses with `gateway_stale`, not run, when the proof is too old; call it right before each effect. */
    public fun check(): Either<Refusal, Unit>

    /** The age of the proof in milliseconds, or null when there is none. */
    public fun ageMs(): Long?
}
