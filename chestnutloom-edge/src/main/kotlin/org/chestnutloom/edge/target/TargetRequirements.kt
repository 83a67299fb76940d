package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart
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
 */
public data class TargetRequirements(
    public val service: String,
    public val priority: Int,
    public val prompt: List<PromptPart>,
    public val isModelCall: Boolean,
    public val startsProgram: Boolean,
    public val waitUntil: Duration,
    public val excludedTargets: Set<TargetId>,
)
