package org.chestnutloom.edge.target

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.edge.http.HttpConnection
import org.chestnutloom.edge.http.RequestBody
import org.chestnutloom.edge.http.ResponsePart
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import kotlin.time.Duration

/** A connection that one run of a target accepted, and that carries only requests for its health. */
internal class HealthConnection(
    private val connection: HttpConnection,
    private val address: PeerAddress,
    private val healthPath: String,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    /** Whether a request waits for its response. */
    var isWaiting = false
        private set
    private var hasFailed = false

    /** When the last request that was answered had been sent, on the monotonic clock; null if none was answered. */
    var answeredAt: Duration? = null
        private set

    /** Whether the connection has not failed while a request waited for its response. */
    val isIntact: Boolean
        get() = !hasFailed

    /** Whether another request can be sent. */
    val isUsable: Boolean
        get() = connection.isReusable

    /** Sends a request on a usable connection. One whose process has ended is reset then. */
    fun ask() {
        isWaiting = true
        val sentAt = clock.elapsed()
        val parts = connection.exchange(request(), RequestBody(emptyList())) { true }
        scope.launch {
            for (part in parts) {
                if (part is ResponsePart.Head) answeredAt = sentAt
                if (part is ResponsePart.Aborted && answeredAt != sentAt) hasFailed = true
            }
            isWaiting = false
        }
    }

    /** Sends a request also behind one that waits, as a busy target lets it; the connection is not usable afterwards. */
    fun askAgain() {
        if (isWaiting) connection.pipeline(request()) else ask()
    }

    private fun request(): HttpRequest {
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, healthPath)
        request.headers().set(HttpHeaderNames.HOST, "${address.host}:${address.port}")
        return request
    }

    /** Closes the connection. */
    fun close() = connection.close()
}
