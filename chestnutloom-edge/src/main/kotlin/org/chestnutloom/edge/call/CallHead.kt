package org.chestnutloom.edge.call

import kotlinx.collections.immutable.ImmutableList
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ProgramId
import kotlin.time.Duration

/**
 * The parsed headers of a request.
 *
 * @property id the id of this attempt, or null without one
 * @property accessKey the access key in the request, or null without one
 * @property callerTimeout how long the caller waits for the response, or null if it does not say
 * @property program the program that the request belongs to, or null without one
 * @property tokenBudget the total number of tokens that the turns of the program may generate, or null without a budget
 * @property maxOutputTokens the maximum number of tokens that this turn generates
 * @property prompt the parts of the prompt in order
 * @property previousTurn the turn that this turn continues, or null if it starts a chain
 * @property programTimeLeft the time left until the program should be complete, or null if the caller does not say
 * @property outputTokensHint the caller's estimate of the number of output tokens, or null without one
 * @property affinityKey identifies the object that the request concerns, or null without one
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
    public val programTimeLeft: Duration? = null,
    public val outputTokensHint: Long? = null,
    public val affinityKey: String? = null,
)
