package org.chestnutloom.gateway.control

import arrow.core.Either
import org.chestnutloom.call.Refusal
import org.chestnutloom.id.ClientAccountId

/** Holds each client account to its rate and burst over the whole fleet. */
public interface AdmissionControl {
    /** Takes one request's worth from the rights of [account], or refuses with `rate_limited`, not run. */
    public suspend fun admit(account: ClientAccountId): Either<Refusal, Unit>
}
