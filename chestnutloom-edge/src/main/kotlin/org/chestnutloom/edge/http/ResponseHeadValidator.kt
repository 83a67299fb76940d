package org.chestnutloom.edge.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValidationUtil
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.AsciiString
import kotlinx.collections.immutable.ImmutableSet

/**
 * Checks the heads of responses more strictly than Netty does, so that the bytes of two responses are not taken for
 * those of one.
 *
 * The beginning of a response that never went on runs into the status line of the next one, which then is in the reason
 * phrase or in a header of the joined head.
 *
 * @property uniqueHeaders names of the headers that a response has at most once, besides those that frame its body
 */
internal class ResponseHeadValidator(
    private val uniqueHeaders: ImmutableSet<String>,
) {
    /** Returns why a status line is not accepted, or null. */
    fun checkStatusLine(
        protocol: String,
        status: String,
        reasonPhrase: String,
    ): InvalidResponse? =
        when {
            protocol !in PROTOCOLS -> InvalidResponse.PROTOCOL
            !isStatus(status) -> InvalidResponse.STATUS
            status == SWITCHING_PROTOCOLS -> InvalidResponse.PROTOCOL_SWITCH
            else -> checkText(reasonPhrase)
        }

    /** Returns why the header [name] with [value] is not accepted behind the [earlier] ones, or null. */
    fun checkHeader(
        earlier: HttpHeaders,
        name: CharSequence,
        value: CharSequence,
    ): InvalidResponse? =
        when {
            hasStatusLine(name) -> InvalidResponse.STATUS_LINE
            HttpHeaderValidationUtil.validateToken(name) >= 0 -> InvalidResponse.HEADER_NAME
            isUnique(name) && earlier.contains(name) -> InvalidResponse.REPEATED_HEADER
            else -> checkText(value) ?: checkFraming(earlier, name, value)
        }

    private fun isStatus(text: String): Boolean =
        text.length == STATUS_DIGITS && isNumber(text) && text[0] in STATUS_CLASSES

    private fun isNumber(text: CharSequence): Boolean = text.isNotEmpty() && text.all { it in '0'..'9' }

    private fun hasStatusLine(text: CharSequence): Boolean = PROTOCOL_START in text && STATUS_LINE.containsMatchIn(text)

    private fun isUnique(name: CharSequence): Boolean =
        isNamed(name, HttpHeaderNames.CONTENT_LENGTH) ||
            isNamed(name, HttpHeaderNames.TRANSFER_ENCODING) ||
            uniqueHeaders.any { isNamed(name, it) }

    private fun checkText(text: CharSequence): InvalidResponse? =
        when {
            hasStatusLine(text) -> InvalidResponse.STATUS_LINE
            text.any { it < ' ' && it != '\t' || it == DELETE } -> InvalidResponse.CONTROL_CHARACTER
            else -> null
        }

    private fun checkFraming(
        earlier: HttpHeaders,
        name: CharSequence,
        value: CharSequence,
    ): InvalidResponse? {
        val isLength = isNamed(name, HttpHeaderNames.CONTENT_LENGTH)
        val isCoding = isNamed(name, HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            isLength && !isNumber(value) -> InvalidResponse.CONTENT_LENGTH
            isCoding && !isNamed(value, HttpHeaderValues.CHUNKED) -> InvalidResponse.TRANSFER_CODING
            isLength && earlier.contains(HttpHeaderNames.TRANSFER_ENCODING) -> InvalidResponse.AMBIGUOUS_LENGTH
            isCoding && earlier.contains(HttpHeaderNames.CONTENT_LENGTH) -> InvalidResponse.AMBIGUOUS_LENGTH
            else -> null
        }
    }

    private fun isNamed(
        text: CharSequence,
        name: CharSequence,
    ): Boolean = AsciiString.contentEqualsIgnoreCase(text, name)

    private companion object {
        private val PROTOCOLS = setOf("HTTP/1.0", "HTTP/1.1")
        private const val PROTOCOL_START = "HTTP/"
        private const val STATUS_DIGITS = 3
        private val STATUS_CLASSES = '1'..'5'
        private const val SWITCHING_PROTOCOLS = "101"
        private const val DELETE = '\u007f'
        private val STATUS_LINE = Regex("HTTP/[0-9]\\.[0-9][ \\t]+[0-9]{3}")
    }
}
