package org.chestnutloom.edge.turn

import org.chestnutloom.id.CallId
import org.chestnutloom.id.TargetId
import java.io.ByteArrayOutputStream

/** The turns before a new turn, the oldest first. */
public class TurnChain(
    public val turns: List<TurnRecord>,
) {
    /** The ids of the turns. */
    public val ids: List<CallId>
        get() = turns.map { it.id }

    /** The target that ran the newest turn, or null at the start of a chain. */
    public val lastTarget: TargetId?
        get() = turns.lastOrNull()?.target

    /** Returns the input and output of all turns, followed by [input]. */
    public fun requestBody(input: ByteArray): ByteArray {
        val size = turns.sumOf { it.input.size + it.output.size } + input.size
        val body = ByteArrayOutputStream(size)
        turns.forEach {
            body.write(it.input)
            body.write(it.output)
        }
        body.write(input)
        return body.toByteArray()
    }
}
