package org.chestnutloom.edge.turn

import kotlinx.serialization.Serializable
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.TargetId

/**
 * The input and output of one turn.
 *
 * @property id the call id of the attempt that ran the turn
 * @property account the client account of the turn, or null on routes without accounts
 * @property ancestors the turns before it, the oldest first
 * @property input the request body, which holds only the new input
 * @property output the data of the events in the response, each followed by a line feed
 * @property target the target that ran the turn
 * @property generatedTokens the number of tokens in the response, or null in records of earlier builds
 * @property ancestorBytes the approximate sizes of [ancestors] in memory, or null in records of earlier builds
 */
@Serializable
public class TurnRecord(
    public val id: CallId,
    public val account: ClientAccountId?,
    public val ancestors: List<CallId>,
    public val input: ByteArray,
    public val output: ByteArray,
    public val target: TargetId,
    public val generatedTokens: Long? = null,
    public val ancestorBytes: List<Int>? = null,
) {
    /** The approximate size in memory. */
    public val sizeBytes: Int
        get() = input.size + output.size + OVERHEAD_BYTES
}

private const val OVERHEAD_BYTES = 256
