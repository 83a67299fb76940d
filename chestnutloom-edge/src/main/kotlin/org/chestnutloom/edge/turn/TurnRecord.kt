package org.chestnutloom.edge.turn

import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.TargetId

/**
 * What was said in one turn.
 *
 * @property id the attempt of the caller that the turn was answered to
 * @property account the client account that the turn belongs to, or null where none is needed
 * @property ancestors the turns before it, the oldest first
 * @property input the request's body, which holds only what was new
 * @property output the data of each event of the answer, each followed by a line feed
 * @property target the target that ran the turn
 */
@Serializable
public class TurnRecord(
    public val id: CallId,
    public val account: ClientAccountId?,
    public val ancestors: List<CallId>,
    public val input: ByteArray,
    public val output: ByteArray,
    public val target: TargetId,
) {
    /** Bytes that the record takes in memory, about. */
    public val sizeBytes: Int
        get() = input.size + output.size + FIXED_BYTES
}

private const val FIXED_BYTES = 256
