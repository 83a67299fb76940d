package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Creates the headers and trailers of responses for the decoder. */
internal class ResponseHeadersFactory(
    private val validator: ResponseHeadValidator,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = ResponseHeaders(validator)

    override fun newEmptyHeaders(): HttpHeaders = ResponseHeaders(validator)
}
