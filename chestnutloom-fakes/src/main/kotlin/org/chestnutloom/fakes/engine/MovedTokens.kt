package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The answer to an export or import: how many tokens the entry has. */
@Serializable
internal data class MovedTokens(
    val tokens: Long,
)
