package org.chestnutloom.edge.call

/**
 * A part of a prompt that several requests may share.
 *
 * @property tokens the length of the part
 */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)
