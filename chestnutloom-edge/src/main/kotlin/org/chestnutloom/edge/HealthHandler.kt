package org.chestnutloom.edge

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.chestnutloom.edge.http.CallerHandler

/** Returns the handler that answers each request with whether the gateway is ready. */
internal fun healthHandler(isReady: () -> Boolean): CallerHandler =
    CallerHandler { _, exchange ->
        exchange.respond(if (isReady()) STATUS_OK else STATUS_UNAVAILABLE, DefaultHttpHeaders(), ByteArray(0))
    }

private const val STATUS_OK = 200
private const val STATUS_UNAVAILABLE = 503
