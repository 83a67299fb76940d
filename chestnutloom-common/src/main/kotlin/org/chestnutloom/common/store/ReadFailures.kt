package org.chestnutloom.common.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.common.http.HttpOutcome
import org.chestnutloom.store.StoreFailure

/** Returns the answer to a read, whatever its status, or says that the service is unavailable. */
internal fun HttpOutcome.orUnavailable(): Either<StoreFailure, HttpOutcome.Answer> =
    when (this) {
        is HttpOutcome.Answer -> right()
        is HttpOutcome.NotSent -> StoreFailure.Unavailable(detail).left()
        is HttpOutcome.NoAnswer -> StoreFailure.Unavailable(detail).left()
    }

/** Returns the failure of a read that was answered with [status]. */
internal fun readFailure(status: Int): StoreFailure = StoreFailure.Unavailable("status $status")
