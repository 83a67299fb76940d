package org.chestnutloom.gateway.control

import arrow.core.Either
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.ClientAccountId

/** Limits each client account to its rate and burst across the fleet. */
public interface AdmissionControl {
    /** Takes one request from the rights of [account], or refuses, for example with `rate_limited` (not run). */
    public suspend fun admit(account: ClientAccountId): Either<Refusal, Unit>
}
