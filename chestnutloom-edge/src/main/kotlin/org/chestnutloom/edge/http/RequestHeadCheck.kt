package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import org.chestnutloom.edge.config.RequestLimits

/** Decides from the head of a request whether it is read. */
internal object RequestHeadCheck {
    /** The methods of requests that are forwarded. */
    val SERVED_METHODS: ImmutableSet<HttpMethod> =
        persistentSetOf(
            HttpMethod.GET,
            HttpMethod.HEAD,
            HttpMethod.POST,
            HttpMethod.PUT,
            HttpMethod.PATCH,
            HttpMethod.DELETE,
            HttpMethod.OPTIONS,
        )

    /** A tunnel cannot be forwarded, and a trace would show the caller headers that are meant for the target. */
    private val UNSERVED_METHODS = persistentSetOf(HttpMethod.CONNECT, HttpMethod.TRACE)

    /** The colon, space and CRLF of a header line. */
    private const val HEADER_SEPARATOR_BYTES = 4

    /** Returns the status that refuses [request] under [limits], or null if it is served. */
    fun refusalOf(
        request: HttpRequest,
        limits: RequestLimits,
    ): HttpResponseStatus? =
        when {
            request.method() in UNSERVED_METHODS -> HttpResponseStatus.METHOD_NOT_ALLOWED
            request.method() !in SERVED_METHODS -> HttpResponseStatus.NOT_IMPLEMENTED
            HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            headerBytes(request) > limits.maxHeaderBytes -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> null
        }

    /** Returns the status for a head that could not be decoded because of [cause]. */
    fun statusOf(cause: Throwable): HttpResponseStatus =
        when (cause) {
            is TooLongHttpLineException, is TooLongHttpHeaderException ->
                HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.BAD_REQUEST
        }

    private fun headerBytes(request: HttpRequest): Int =
        request.uri().length +
            request.headers().entries().sumOf { it.key.length + it.value.length + HEADER_SEPARATOR_BYTES }
}
