package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How much of a prompt came from the prefix cache. */
@Serializable
internal data class PromptDetails(
    @SerialName("cached_tokens")
    val cachedTokens: Long,
)
