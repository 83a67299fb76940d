package org.chestnutloom.edge.turn

import org.chestnutloom.edge.http.RequestBody
import org.chestnutloom.id.CallId
import org.chestnutloom.id.TargetId

/** The turns before a new turn, the oldest first, which [memory] holds until the chain is released. */
public class TurnChain internal constructor(
    public val turns: List<TurnRecord>,
    private val memory: TurnMemory,
) {
    private var isReleased = false

    /** The ids of the turns. */
    public val ids: List<CallId>
        get() = turns.map { it.id }

    /** The target that ran the newest turn, or null at the start of a chain. */
    public val lastTarget: TargetId?
        get() = turns.lastOrNull()?.target

    /** Returns the input and output of all turns, followed by [input], without a copy of them. */
    internal fun requestBody(input: ByteArray): RequestBody =
        RequestBody(turns.flatMap { listOf(it.input, it.output) } + listOf(input))

    /** Lets go of the turns, which are no longer used; without effect when called again. */
    internal fun release() {
        if (isReleased) return
        isReleased = true
        turns.forEach { memory.release(it) }
    }
}
