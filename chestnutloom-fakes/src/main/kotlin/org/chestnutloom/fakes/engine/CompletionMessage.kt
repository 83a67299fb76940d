package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The text of an answer or of one chunk. */
@Serializable
internal data class CompletionMessage(
    val role: String? = null,
    val content: String? = null,
)
