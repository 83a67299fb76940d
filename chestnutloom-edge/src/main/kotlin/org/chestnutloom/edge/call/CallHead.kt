package org.chestnutloom.edge.call

import kotlinx.collections.immutable.ImmutableList
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration

/**
 * What a caller says of its request beside method, path and body.
 *
 * @property id names this attempt of the caller, or null when the caller named none
 * @property accessKey the key that the caller showed
 * @property callerTimeout how long the caller waits for the answer
 * @property program the program that the request belongs to
 * @property tokenBudget tokens that all turns of the program may generate
 * @property maxOutputTokens the most tokens that this turn generates
 * @property prompt the parts of the prompt in order
 * @property previousTurn the turn that this one continues
 */
public data class CallHead(
    public val id: CallId?,
    public val accessKey: String?,
    public val callerTimeout: Duration?,
    public val program: ProgramId?,
    public val tokenBudget: Long?,
    public val maxOutputTokens: Long,
    public val prompt: ImmutableList<PromptPart>,
    public val previousTurn: CallId?,
)
