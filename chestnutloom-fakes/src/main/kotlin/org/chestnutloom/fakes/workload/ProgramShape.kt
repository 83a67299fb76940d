package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * Parameters of the programs of one kind.
 *
 * @property share relative frequency of the shape
 * @property sharedPrefixTokens tokens at the start of each prompt that all programs of the shape share
 * @property messageTokens tokens that each turn adds to the prompt, without the generated text
 * @property toolShare fraction of the turns after the first that call a tool
 * @property pauseMedianMs median pause after a turn, in milliseconds
 * @property pauseTail tail index of the Pareto-distributed pauses; a lower value gives a heavier tail
 * @property pauseMaxMs upper limit of a pause, in milliseconds
 * @property subAgentShare fraction of model turns that run a sub-agent concurrently
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
