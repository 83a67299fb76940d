package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The message of a complete response or the delta of one chunk. */
@Serializable
internal data class CompletionMessage(
    val role: String? = null,
    val content: String? = null,
)
