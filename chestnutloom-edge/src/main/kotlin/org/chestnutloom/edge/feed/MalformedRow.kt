package org.chestnutloom.edge.feed

/** A row of the store cannot be used. */
public data class MalformedRow(
    public val key: String,
    public val detail: String,
)
