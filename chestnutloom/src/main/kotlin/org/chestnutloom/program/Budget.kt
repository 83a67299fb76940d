package org.chestnutloom.program

import kotlinx.serialization.Serializable

/**
 * What a program may use, or has used.
 *
 * @property tokens prompt and generated tokens of model calls
 * @property calls model and tool calls
 * @property wallTimeMs time since the program was opened, in milliseconds
 */
@Serializable
public data class Budget(
    public val tokens: Long,
    public val calls: Long,
    public val wallTimeMs: Long,
)
