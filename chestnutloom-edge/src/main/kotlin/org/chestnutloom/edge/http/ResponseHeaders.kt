package org.chestnutloom.edge.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

/** The headers or trailers of one response; adding one that [validator] does not accept throws. */
internal class ResponseHeaders(
    private val validator: ResponseHeadValidator,
) : DefaultHttpHeaders() {
    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        validator.checkHeader(this, name, value.toString())?.let { throw InvalidResponseException(it) }
        return super.add(name, value)
    }
}
