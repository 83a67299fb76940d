package org.chestnutloom.common.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration

/** Sends HTTP requests to one external service, and distinguishes requests that were certainly not sent. */
internal class HttpServiceClient(
    baseUrl: String,
    private val timeout: Duration,
) {
    private val baseUrl = baseUrl.trimEnd('/')

    /** Sends a request with a JSON body, or without a body. */
    suspend fun json(
        method: HttpMethod,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): HttpOutcome = bytes(method, path, body?.encodeToByteArray(), JSON_TYPE, headers)

    /** Sends a request with a body of type [contentType], or without a body. */
    suspend fun bytes(
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        contentType: String,
        headers: Map<String, String> = emptyMap(),
    ): HttpOutcome =
        try {
            send(method, path, body, contentType, headers)
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            HttpOutcome.NoResponse(e.javaClass.simpleName)
        } catch (e: Exception) {
            outcomeOf(e)
        }

    private suspend fun send(
        method: HttpMethod,
        path: String,
        body: ByteArray?,
        contentType: String,
        headers: Map<String, String>,
    ): HttpOutcome {
        val response =
            sharedClient.request {
                this.method = method
                url(baseUrl + path)
                setTimeouts()
                headers.forEach { (name, value) -> header(name, value) }
                if (body != null) {
                    header("Content-Type", contentType)
                    setBody(body)
                }
            }
        return HttpOutcome.Response(response.status.value, response.bodyAsBytes())
    }

    private fun HttpRequestBuilder.setTimeouts() {
        timeout {
            connectTimeoutMillis = timeout.inWholeMilliseconds / 2
            requestTimeoutMillis = timeout.inWholeMilliseconds
        }
    }

    private fun outcomeOf(cause: Exception): HttpOutcome {
        val name = cause.javaClass.simpleName
        val notSent =
            cause is ConnectException || cause is ConnectTimeoutException || cause is UnresolvedAddressException
        return if (notSent) HttpOutcome.NotSent(name) else HttpOutcome.NoResponse(name)
    }

    private companion object {
        private const val JSON_TYPE = "application/json"

        /** Pipelining stays disabled, so that no request queues behind another on an unresponsive connection. */
        private val sharedClient: HttpClient by lazy {
            HttpClient(CIO) {
                expectSuccess = false
                followRedirects = false
                install(HttpTimeout)
                engine { maxConnectionsCount = MAX_CONNECTIONS }
            }
        }

        private const val MAX_CONNECTIONS = 1000
    }
}
