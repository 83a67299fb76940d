package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The response of `GET /v1/cache/events` and `GET /admin/cache-events`. */
@Serializable
public data class CacheEventList(
    public val events: List<CacheEvent>,
)
