package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * How the programs of one kind look.
 *
 * @property share how often the shape occurs, relative to the others
 * @property sharedPrefixTokens tokens at the start of each prompt, the same for all programs of the shape
 * @property messageTokens tokens that each turn adds to the prompt, besides the answers
 * @property toolShare the share of turns that call a tool
 * @property pauseMedianMs the median pause after a turn, in milliseconds
 * @property pauseTail the tail index of the pauses; the lower, the heavier the tail
 * @property pauseMaxMs the longest pause, in milliseconds
 * @property subAgentShare the share of turns that run a sub-agent beside them
 */
@Serializable
internal data class ProgramShape(
    val name: String,
    val share: Double,
    val turnsMin: Int,
    val turnsMax: Int,
    val sharedPrefixTokens: Int,
    val messageTokens: Int,
    val answerTokensMin: Int,
    val answerTokensMax: Int,
    val toolShare: Double,
    val pauseMedianMs: Long,
    val pauseTail: Double,
    val pauseMaxMs: Long,
    val subAgentShare: Double,
)
