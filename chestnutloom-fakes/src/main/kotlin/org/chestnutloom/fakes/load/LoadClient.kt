package org.chestnutloom.fakes.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/** Sends requests to the gateways in round-robin order, as the platform's load balancer does. */
internal class LoadClient(
    private val gateways: List<String>,
) : AutoCloseable {
    private val next = AtomicInteger()
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) {
                requestTimeoutMillis = REQUEST_TIMEOUT_MS
                connectTimeoutMillis = CONNECT_TIMEOUT_MS
            }
            engine {
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
            }
        }

    /** Sends one request and returns its buffered response. */
    suspend fun post(
        path: String,
        key: String,
        body: JsonObject,
    ): RawResponse {
        val gateway = gateways[Math.floorMod(next.getAndIncrement(), gateways.size)]
        return try {
            val response =
                http.post(gateway + path) {
                    header(HttpHeaders.Authorization, "Bearer $key")
                    contentType(ContentType.Application.Json)
                    setBody(body.toString())
                }
            val isStream = response.contentType()?.match(ContentType.Text.EventStream) == true
            RawResponse.Received(response.bodyAsText(), isStream)
        } catch (failure: IOException) {
            RawResponse.Failed(failure.toString())
        }
    }

    override fun close() {
        http.close()
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 120_000L
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val MAX_CONNECTIONS = 4_000
    }
}
