package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId
import kotlin.time.Duration

/**
 * What a request requires of a target.
 *
 * @property priority the request's priority; 0 is the highest
 * @property prompt the parts of the prompt in order; empty for services without an engine
 * @property isModelCall whether an engine generates the response
 * @property startsProgram whether this is the first request of its program
 * @property waitUntil when to stop waiting for a target, on the monotonic clock
 * @property excludedTargets targets at which this request has already failed
 * @property route the name of the request's route
 * @property program the program that the request belongs to, or null without one
 * @property account the client account, or null on routes without one
 * @property isRepeatable whether the request may be sent again after a target may have run it
 * @property programDeadline when the program should be complete, on the monotonic clock, or null if that is not known
 * @property maxOutputTokens the maximum number of tokens that the request generates, or 0 if it generates none
 * @property outputTokensHint the caller's estimate of the number of output tokens, or null without one
 * @property affinityKey the object that the request concerns if its route has affinity, else null
 * @property coldRequestsPerSecond the rate that a cold target of the service accepts, or null without a limit
 */
public data class TargetRequirements(
    public val service: String,
    public val priority: Int,
    public val prompt: List<PromptPart>,
    public val isModelCall: Boolean,
    public val startsProgram: Boolean,
    public val waitUntil: Duration,
    public val excludedTargets: Set<TargetId>,
    public val route: String = "",
    public val program: ProgramId? = null,
    public val account: ClientAccountId? = null,
    public val isRepeatable: Boolean = false,
    public val programDeadline: Duration? = null,
    public val maxOutputTokens: Long = 0,
    public val outputTokensHint: Long? = null,
    public val affinityKey: String? = null,
    public val coldRequestsPerSecond: Double? = null,
)
