package org.chestnutloom.fakes.workload

import kotlin.time.Duration

/**
 * One program that will be run.
 *
 * @property name unique in its run
 * @property arrival when it arrives, after the start of the run
 * @property prefix the text that its prompts begin with
 */
internal data class ProgramPlan(
    val name: String,
    val account: String,
    val arrival: Duration,
    val prefix: String,
    val turns: List<TurnPlan>,
) {
    /** The number of model turns, with those of sub-agents. */
    val modelTurns: Int
        get() = turns.sumOf { turn -> (if (turn.isTool) 0 else 1) + (turn.subAgent?.modelTurns ?: 0) }
}
