package org.chestnutloom.integration.caller

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.JsonObject

/** An HTTP client that sends requests to gateways and reads each response completely. */
class CallerClient : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) {
                requestTimeoutMillis = REQUEST_TIMEOUT_MS
                connectTimeoutMillis = CONNECT_TIMEOUT_MS
            }
            engine {
                maxConnectionsCount = MAX_CONNECTIONS
                requestTimeout = REQUEST_TIMEOUT_MS
            }
        }

    /** Sends one request; returns [CallerResponse.Aborted] if the connection fails before the response is complete. */
    suspend fun send(
        baseUrl: String,
        method: HttpMethod,
        path: String,
        key: String?,
        body: JsonObject? = null,
        headers: Map<String, String> = emptyMap(),
    ): CallerResponse =
        try {
            http
                .prepareRequest(baseUrl + path) {
                    this.method = method
                    key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
                    headers.forEach { (name, value) -> header(name, value) }
                    body?.let {
                        contentType(ContentType.Application.Json)
                        setBody(it.toString())
                    }
                }.execute { response ->
                    CallerResponse.Complete(
                        status = response.status.value,
                        requestId = response.headers["X-Request-Id"],
                        contentType = response.headers[HttpHeaders.ContentType].orEmpty(),
                        body = response.bodyAsText(),
                    )
                }
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Exception) {
            CallerResponse.Aborted(failure.toString())
        }

    override fun close() {
        http.close()
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 90_000L
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val MAX_CONNECTIONS = 4_000
    }
}
