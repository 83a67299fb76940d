package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The number of prompt tokens that were in the prefix cache. */
@Serializable
internal data class PromptDetails(
    @SerialName("cached_tokens")
    val cachedTokens: Long,
)
