package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses on one connection, checks their heads, and tells whether bytes follow them. */
internal class ResponseDecoder(
    config: HttpDecoderConfig,
    private val validator: ResponseHeadValidator,
) : HttpResponseDecoder(config) {
    /** Whether the request in progress is a `HEAD` request, whose response has no body whatever its headers say. */
    var isHeadRequest: Boolean = false

    /** The number of bytes received behind the last part that was decoded, at the time at which that part is read. */
    val unreadBytes: Int
        get() = actualReadableBytes()

    /** Returns whether [response] has no body, whatever its headers say. */
    fun hasNoBody(response: HttpResponse): Boolean = isContentAlwaysEmpty(response)

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (protocol, status, reasonPhrase) = initialLine
        validator.checkStatusLine(protocol, status, reasonPhrase)?.let { throw InvalidResponseException(it) }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)
}
