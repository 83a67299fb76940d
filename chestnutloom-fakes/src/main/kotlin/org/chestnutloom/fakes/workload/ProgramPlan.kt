package org.chestnutloom.fakes.workload

import kotlin.time.Duration

/**
 * One program to run.
 *
 * @property name unique within the run
 * @property arrival arrival time, relative to the start of the run
 * @property prefix the text at the start of each of its prompts
 */
internal data class ProgramPlan(
    val name: String,
    val account: String,
    val arrival: Duration,
    val prefix: String,
    val turns: List<TurnPlan>,
) {
    /** The number of model turns, including those of sub-agents. */
    val modelTurns: Int
        get() = turns.sumOf { turn -> (if (turn.isTool) 0 else 1) + (turn.subAgent?.modelTurns ?: 0) }
}
