package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The token usage of a completion. */
@Serializable
internal data class CompletionUsage(
    @SerialName("prompt_tokens")
    val promptTokens: Long,
    @SerialName("completion_tokens")
    val completionTokens: Long,
    @SerialName("total_tokens")
    val totalTokens: Long,
    @SerialName("prompt_tokens_details")
    val promptDetails: PromptDetails,
)
