package org.chestnutloom.edge.feed

/** A row of the store that cannot be decoded. */
public data class MalformedRow(
    public val key: String,
    public val detail: String,
)
