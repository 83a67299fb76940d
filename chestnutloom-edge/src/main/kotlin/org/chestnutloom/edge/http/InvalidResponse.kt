package org.chestnutloom.edge.http

/** A reason why the head or the trailers of a response are not accepted. */
internal enum class InvalidResponse(
    val detail: String,
) {
    PROTOCOL("protocol is neither HTTP/1.0 nor HTTP/1.1"),
    STATUS("status is not a number of three digits"),
    PROTOCOL_SWITCH("server switches protocols"),
    STATUS_LINE("a second status line follows in the head"),
    CONTROL_CHARACTER("control character in the head"),
    HEADER_NAME("header name is not a token"),
    CONTENT_LENGTH("Content-Length is not a number"),
    TRANSFER_CODING("transfer coding is not chunked"),
    REPEATED_HEADER("header is repeated that may occur once"),
    AMBIGUOUS_LENGTH("both Content-Length and Transfer-Encoding"),
}
