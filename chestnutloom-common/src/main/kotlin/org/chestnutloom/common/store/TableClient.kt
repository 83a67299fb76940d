package org.chestnutloom.common.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.ktor.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.chestnutloom.common.http.HttpOutcome
import org.chestnutloom.common.http.HttpServiceClient
import org.chestnutloom.common.http.decode
import org.chestnutloom.common.http.lenientJson
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowPage
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns a client for the table service at [url] that limits each request to [timeout]. */
public fun tableClient(
    url: String,
    timeout: Duration = 1.seconds,
): TableStore = TableClient(HttpServiceClient(url, timeout))

private class TableClient(
    private val http: HttpServiceClient,
) : TableStore {
    override suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>> =
        query("/v1/read", ReadRequest.serializer(), ReadRequest(keys), RowList.serializer()).map { it.rows }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): Either<StoreFailure, RowPage> {
        val request = ScanRequest(prefix, afterKey, limit)
        return query("/v1/scan", ScanRequest.serializer(), request, RowPage.serializer())
    }

    override suspend fun transact(transaction: Transaction): Either<StoreFailure, List<Row>> {
        val body = lenientJson.encodeToString(Transaction.serializer(), transaction)
        return when (val outcome = http.json(HttpMethod.Post, "/v1/transact", body)) {
            is HttpOutcome.NotSent -> StoreFailure.Unavailable(outcome.detail).left()
            is HttpOutcome.NoResponse -> StoreFailure.OutcomeUnknown(outcome.detail).left()
            is HttpOutcome.Response -> writeResult(outcome)
        }
    }

    private fun writeResult(response: HttpOutcome.Response): Either<StoreFailure, List<Row>> =
        when (response.status) {
            STATUS_OK -> response.decode(RowList.serializer()).map { it.rows }.mapLeft { undecodable() }
            STATUS_CONFLICT ->
                response.decode(ConflictResponse.serializer()).fold({ it.left() }, { it.toFailure().left() })

            STATUS_UNAVAILABLE -> StoreFailure.Unavailable("status $STATUS_UNAVAILABLE").left()
            else -> StoreFailure.OutcomeUnknown("status ${response.status}").left()
        }

    private fun undecodable(): StoreFailure = StoreFailure.OutcomeUnknown("the response body could not be decoded")

    private suspend fun <Q, A> query(
        path: String,
        requestType: KSerializer<Q>,
        request: Q,
        responseType: KSerializer<A>,
    ): Either<StoreFailure, A> {
        val body = lenientJson.encodeToString(requestType, request)
        return http.json(HttpMethod.Post, path, body).orUnavailable().flatMap { response ->
            if (response.status == STATUS_OK) response.decode(responseType) else readFailure(response.status).left()
        }
    }

    @Serializable
    private data class ReadRequest(
        val keys: List<String>,
    )

    @Serializable
    private data class ScanRequest(
        val prefix: String,
        val afterKey: String?,
        val limit: Int,
    )

    @Serializable
    private data class RowList(
        val rows: List<Row> = emptyList(),
    )

    @Serializable
    private data class ConflictResponse(
        val failedKeys: List<String>,
        val current: List<Row> = emptyList(),
    ) {
        fun toFailure(): StoreFailure = StoreFailure.Conflict(failedKeys, current)
    }

    private companion object {
        private const val STATUS_OK = 200
        private const val STATUS_CONFLICT = 409
        private const val STATUS_UNAVAILABLE = 503
    }
}
