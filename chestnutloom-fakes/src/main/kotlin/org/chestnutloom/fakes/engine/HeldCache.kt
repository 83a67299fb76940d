package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The answer of `GET /v1/cache`: the tokens cached for each program. */
@Serializable
public data class HeldCache(
    public val programs: Map<String, Long>,
)
