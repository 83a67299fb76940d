package org.chestnutloom.edge.codec

/** Bytes that could not be decoded as CBOR of the expected type. */
public data class MalformedCbor(
    public val detail: String,
)
