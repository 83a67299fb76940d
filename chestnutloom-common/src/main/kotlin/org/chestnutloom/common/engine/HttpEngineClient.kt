package org.chestnutloom.common.engine

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.common.http.HttpOutcome
import org.chestnutloom.common.http.HttpServiceClient
import org.chestnutloom.common.http.decode
import org.chestnutloom.common.http.lenientJson
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns a client for the model engine at [url] that limits each request to [timeout].
 *
 * @param credential the bearer token for an engine that requires authentication, or null
 */
public fun engineClient(
    url: String,
    timeout: Duration = 2.seconds,
    credential: String? = null,
): EngineClient = HttpEngineClient(HttpServiceClient(url, timeout), credential)

private class HttpEngineClient(
    private val http: HttpServiceClient,
    credential: String?,
) : EngineClient {
    private val headers = credential?.let { mapOf("Authorization" to "Bearer $it") }.orEmpty()

    override suspend fun cachedPrograms(): Either<EngineFailure, Map<ProgramId, Long>> =
        get("/v1/cache").read(CacheListing.serializer()).map { it.programs }

    override suspend fun cacheEvents(after: Long): Either<EngineFailure, List<CacheEvent>> =
        get("/v1/cache/events?after=$after").read(EventListing.serializer()).map { it.events }

    override suspend fun releaseCache(program: ProgramId): Either<EngineFailure, Unit> {
        val body = lenientJson.encodeToString(CacheRequest.serializer(), CacheRequest(program))
        return post("/v1/cache/release", body).map { }
    }

    override suspend fun exportCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long> = transferCache("/v1/cache/export", program, objectName)

    override suspend fun importCache(
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long> = transferCache("/v1/cache/import", program, objectName)

    override suspend fun load(): Either<EngineFailure, EngineLoad> = get("/v1/load").read(EngineLoad.serializer())

    override suspend fun order(order: EngineOrder): Either<EngineFailure, Unit> =
        post("/v1/orders", lenientJson.encodeToString(EngineOrder.serializer(), order)).map { }

    override suspend fun cancelRequest(requestId: String): Either<EngineFailure, Unit> =
        post("/v1/requests/${requestId.encodeURLPathPart()}/cancel", null).map { }

    override suspend fun checkHealth(): Either<EngineFailure, Unit> = get("/v1/health").map { }

    private suspend fun transferCache(
        path: String,
        program: ProgramId,
        objectName: String,
    ): Either<EngineFailure, Long> {
        val body = lenientJson.encodeToString(CacheRequest.serializer(), CacheRequest(program, objectName))
        return post(path, body).read(TransferredTokens.serializer()).map { it.tokens }
    }

    private suspend fun get(path: String): Either<EngineFailure, HttpOutcome.Response> =
        http.json(HttpMethod.Get, path, headers = headers).successOrFailure()

    private suspend fun post(
        path: String,
        body: String?,
    ): Either<EngineFailure, HttpOutcome.Response> = http.json(HttpMethod.Post, path, body, headers).successOrFailure()

    private fun HttpOutcome.successOrFailure(): Either<EngineFailure, HttpOutcome.Response> =
        when (this) {
            is HttpOutcome.NotSent -> EngineFailure.Unreachable(detail).left()
            is HttpOutcome.NoResponse -> EngineFailure.NoResponse(detail).left()
            is HttpOutcome.Response -> if (status in SUCCESS_STATUSES) right() else toFailure().left()
        }

    private fun HttpOutcome.Response.toFailure(): EngineFailure =
        when (status) {
            STATUS_NOT_FOUND -> EngineFailure.NotFound
            STATUS_CONFLICT -> read(Fencing.serializer()).fold({ it }, { EngineFailure.Fenced(it.fencing) })
            else -> EngineFailure.Rejected(status)
        }

    private fun <T> Either<EngineFailure, HttpOutcome.Response>.read(
        type: DeserializationStrategy<T>,
    ): Either<EngineFailure, T> = flatMap { it.read(type) }

    private fun <T> HttpOutcome.Response.read(type: DeserializationStrategy<T>): Either<EngineFailure, T> =
        decode(type).mapLeft { EngineFailure.Malformed("cannot decode a response with status $status") }

    @Serializable
    private data class CacheListing(
        val programs: Map<ProgramId, Long>,
    )

    @Serializable
    private data class EventListing(
        val events: List<CacheEvent>,
    )

    @Serializable
    private data class CacheRequest(
        val program: ProgramId,
        @SerialName("object")
        val objectName: String? = null,
    )

    @Serializable
    private data class TransferredTokens(
        val tokens: Long,
    )

    @Serializable
    private data class Fencing(
        val fencing: Long,
    )

    private companion object {
        private val SUCCESS_STATUSES = 200..299
        private const val STATUS_NOT_FOUND = 404
        private const val STATUS_CONFLICT = 409
    }
}
