package org.chestnutloom.edge.call

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders

/**
 * The status and headers of a target's response.
 *
 * @property headers the headers to pass on to the caller
 * @property isNotRun whether the target states that it did not run the request and never will
 * @property isSigned whether the response carries the target's signature header
 * @property impliesNotRun whether the caller would take the status alone to mean that the request did not run
 * @property isTargetLeaving whether the target states that it shuts down and takes no new requests
 */
public class ResponseHead(
    public val status: Int,
    public val headers: HttpHeaders,
    public val isNotRun: Boolean,
    public val isSigned: Boolean,
    public val impliesNotRun: Boolean,
    public val isTargetLeaving: Boolean,
) {
    /** Whether the status is 2xx. */
    public val isSuccess: Boolean
        get() = status in SUCCESS_STATUSES

    /** Whether the body is an event stream, or null if the target states no type. */
    public val isEventStream: Boolean?
        get() {
            val type = headers.get(HttpHeaderNames.CONTENT_TYPE)?.substringBefore(';')?.trim()
            if (type.isNullOrEmpty()) return null
            return HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type)
        }

    private companion object {
        private val SUCCESS_STATUSES = 200..299
    }
}
