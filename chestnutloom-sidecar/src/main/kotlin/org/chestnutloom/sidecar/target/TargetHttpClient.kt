package org.chestnutloom.sidecar.target

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.sse.SSE

/** Header with the call id, in requests to the target and in its responses. */
internal const val REQUEST_ID: String = "X-Request-Id"

internal const val CONNECT_TIMEOUT_MS: Long = 2_000L
private const val MAX_CONNECTIONS = 512

/** Returns a client that sends each request once, on a new connection, and does not follow redirects. */
internal fun targetHttpClient(): HttpClient =
    HttpClient(CIO) {
        followRedirects = false
        expectSuccess = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                connectTimeout = CONNECT_TIMEOUT_MS
                connectAttempts = 1
                maxConnectionsPerRoute = MAX_CONNECTIONS
            }
        }
        install(SSE) {
            maxReconnectionAttempts = 0
        }
    }
