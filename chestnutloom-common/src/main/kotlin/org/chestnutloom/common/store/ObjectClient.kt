package org.chestnutloom.common.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLPathPart
import org.chestnutloom.common.http.HttpOutcome
import org.chestnutloom.common.http.HttpServiceClient
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns a client for the object store at [url] that limits each request to [timeout]. */
public fun objectClient(
    url: String,
    timeout: Duration = 5.seconds,
): ObjectStore = ObjectClient(HttpServiceClient(url, timeout))

private class ObjectClient(
    private val http: HttpServiceClient,
) : ObjectStore {
    override suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit> =
        when (val outcome = http.bytes(HttpMethod.Put, pathOf(name), bytes, BYTES_TYPE)) {
            is HttpOutcome.NotSent -> StoreFailure.Unavailable(outcome.detail).left()
            is HttpOutcome.NoResponse -> StoreFailure.OutcomeUnknown(outcome.detail).left()
            is HttpOutcome.Response -> stored(outcome.status)
        }

    override suspend fun get(name: String): Either<StoreFailure, ByteArray?> =
        http.json(HttpMethod.Get, pathOf(name)).orUnavailable().flatMap { response ->
            when (response.status) {
                STATUS_OK -> response.body.right()
                STATUS_NOT_FOUND -> null.right()
                else -> readFailure(response.status).left()
            }
        }

    private fun stored(status: Int): Either<StoreFailure, Unit> =
        when (status) {
            STATUS_OK, STATUS_NO_CONTENT -> Unit.right()
            STATUS_UNAVAILABLE -> StoreFailure.Unavailable("status $status").left()
            else -> StoreFailure.OutcomeUnknown("status $status").left()
        }

    private fun pathOf(name: String): String =
        name.split('/').joinToString("/", prefix = "/v1/objects/") { it.encodeURLPathPart() }

    private companion object {
        private const val BYTES_TYPE = "application/octet-stream"
        private const val STATUS_OK = 200
        private const val STATUS_NO_CONTENT = 204
        private const val STATUS_NOT_FOUND = 404
        private const val STATUS_UNAVAILABLE = 503
    }
}
