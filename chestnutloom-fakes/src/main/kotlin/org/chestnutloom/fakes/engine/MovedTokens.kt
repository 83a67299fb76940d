package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The response to a cache export or import: the size of the entry in tokens. */
@Serializable
internal data class MovedTokens(
    val tokens: Long,
)
