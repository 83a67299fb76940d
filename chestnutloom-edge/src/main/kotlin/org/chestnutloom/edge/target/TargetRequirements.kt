package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart
import org.chestnutloom.id.TargetId
import kotlin.time.Duration

/**
 * What a request asks of a target.
 *
 * @property rank the request's urgency, 0 being the most urgent
 * @property prompt the parts of the prompt in order; empty for plain services
 * @property isModelCall whether an engine generates the answer
 * @property startsProgram whether no other request of the same program was served yet
 * @property waitUntil when waiting for a target is pointless, on the monotonic clock
 * @property excluded targets that already failed this request
 */
public data class TargetRequirements(
    public val service: String,
    public val rank: Int,
    public val prompt: List<PromptPart>,
    public val isModelCall: Boolean,
    public val startsProgram: Boolean,
    public val waitUntil: Duration,
    public val excluded: Set<TargetId>,
)
