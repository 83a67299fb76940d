package org.chestnutloom.edge.codec

/** Some bytes are not the CBOR value that they should be. */
public data class MalformedCbor(
    public val detail: String,
)
