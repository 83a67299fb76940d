package org.chestnutloom.fakes.workload

import kotlin.time.Duration

/**
 * One turn of a program.
 *
 * @property message what the turn adds to the prompt, or the name of a tool call's effect; no two turns share one
 * @property pause how long the program waits after the turn
 * @property subAgent a program that runs beside the turn and the pause, or null
 */
internal data class TurnPlan(
    val message: String,
    val answerTokens: Int,
    val isTool: Boolean,
    val streams: Boolean,
    val pause: Duration,
    val subAgent: ProgramPlan?,
)
