package org.chestnutloom.program

import kotlinx.serialization.Serializable

/**
 * What one or more calls use of a budget, or may use at most.
 *
 * @property tokens prompt and generated tokens of model calls
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

    /** Tells whether [other] fits into this cost in every dimension. */
    public fun covers(other: Cost): Boolean = tokens >= other.tokens && calls >= other.calls
}
