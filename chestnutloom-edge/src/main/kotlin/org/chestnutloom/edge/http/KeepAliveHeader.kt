package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the timeout of the `Keep-Alive` header in [response], or null without one. */
internal fun keepAliveTimeoutOf(response: HttpResponse): Duration? =
    response
        .headers()
        .get("Keep-Alive")
        ?.split(',')
        ?.map { it.trim() }
        ?.firstOrNull { it.startsWith(TIMEOUT_PREFIX, ignoreCase = true) }
        ?.substring(TIMEOUT_PREFIX.length)
        ?.toIntOrNull()
        ?.seconds

private const val TIMEOUT_PREFIX = "timeout="
