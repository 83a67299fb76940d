package org.chestnutloom.common.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.common.http.HttpOutcome
import org.chestnutloom.store.StoreFailure

/** Returns the response to a read, whatever its status; without one, the service counts as unavailable. */
internal fun HttpOutcome.orUnavailable(): Either<StoreFailure, HttpOutcome.Response> =
    when (this) {
        is HttpOutcome.Response -> right()
        is HttpOutcome.NotSent -> StoreFailure.Unavailable(detail).left()
        is HttpOutcome.NoResponse -> StoreFailure.Unavailable(detail).left()
    }

/** Returns the failure of a read whose response has the error status [status]. */
internal fun readFailure(status: Int): StoreFailure = StoreFailure.Unavailable("status $status")
