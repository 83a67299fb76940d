package org.chestnutloom.program

import kotlinx.serialization.Serializable

/**
 * The budget that one or more calls use, or their maximum.
 *
 * @property tokens prompt and completion tokens of model calls
 * @property calls model and tool calls
 */
@Serializable
public data class Cost(
    public val tokens: Long = 0,
    public val calls: Long = 0,
) {
    /** Returns the sum of both costs. */
    public operator fun plus(other: Cost): Cost = Cost(tokens + other.tokens, calls + other.calls)

    /** Returns this cost without [other]. */
    public operator fun minus(other: Cost): Cost = Cost(tokens - other.tokens, calls - other.calls)

    /** Returns whether [other] is at most this cost in every dimension. */
    public fun covers(other: Cost): Boolean = tokens >= other.tokens && calls >= other.calls
}
