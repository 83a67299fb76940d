package org.chestnutloom.edge.call

/**
 * A prompt segment that several requests may share.
 *
 * @property tokens the length of the segment
 */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)
