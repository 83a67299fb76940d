package org.chestnutloom.edge.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** A large body is usually sent and forwarded within this time. */
private const val RETRY_SECONDS = 1

/** Returns the response with [status] to a request that is not read to its end, which is the last one on its connection. */
internal fun rejectionOf(status: HttpResponseStatus): FullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
    HttpUtil.setContentLength(response, 0)
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    if (status == HttpResponseStatus.METHOD_NOT_ALLOWED) {
        response.headers().set(HttpHeaderNames.ALLOW, RequestHeadCheck.SERVED_METHODS.joinToString(", "))
    }
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_SECONDS)
    }
    return response
}
