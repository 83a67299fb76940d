package org.chestnutloom.fakes.workload

import kotlin.time.Duration

/**
 * One turn of a program.
 *
 * @property message the text that the turn adds to the prompt, or the effect name of a tool call; unique to the turn
 * @property pause pause after the turn
 * @property subAgent a program that runs concurrently with the turn and the pause, or null
 */
internal data class TurnPlan(
    val message: String,
    val completionTokens: Int,
    val isTool: Boolean,
    val streams: Boolean,
    val pause: Duration,
    val subAgent: ProgramPlan?,
)
