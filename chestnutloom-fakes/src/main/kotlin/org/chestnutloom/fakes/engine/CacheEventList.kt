package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** Changes of a prefix cache, as an answer. */
@Serializable
public data class CacheEventList(
    public val events: List<CacheEvent>,
)
