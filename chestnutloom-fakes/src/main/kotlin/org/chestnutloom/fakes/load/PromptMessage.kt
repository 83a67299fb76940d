package org.chestnutloom.fakes.load

/** One message of a prompt. */
internal data class PromptMessage(
    val role: String,
    val content: String,
)
