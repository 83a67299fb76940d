package org.chestnutloom.program

import kotlinx.serialization.Serializable

/**
 * The resources that a program may use.
 *
 * @property tokens prompt and completion tokens of model calls
 * @property calls model and tool calls
 * @property wallTimeMs time since the program was opened, in milliseconds
 */
@Serializable
public data class Budget(
    public val tokens: Long,
    public val calls: Long,
    public val wallTimeMs: Long,
)
