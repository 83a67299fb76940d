package org.chestnutloom.edge.call

/**
 * A part of a prompt that several requests may share.
 *
 * @property tokens how long the part is
 */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)
