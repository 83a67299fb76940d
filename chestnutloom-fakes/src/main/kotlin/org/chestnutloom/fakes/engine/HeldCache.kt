package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The response of `GET /v1/cache`: the number of cached tokens of each program. */
@Serializable
public data class HeldCache(
    public val programs: Map<String, Long>,
)
