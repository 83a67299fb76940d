package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable

/**
 * What one client account got.
 *
 * @property insideRate whether the workload keeps the account inside its rate
 * @property latency program latency; a program that failed counts with the deadline
 * @property modelTurns model turns that were answered
 * @property fairModelTurns model turns that a fair division of the answered ones would give the account
 * @property wrongfulRefusals refusals for want of capacity or rate of requests inside the rate and burst, by code
 */
@Serializable
internal data class AccountResult(
    val name: String,
    val insideRate: Boolean,
    val programs: Int,
    val failures: Map<String, Int>,
    val latency: LatencySummary,
    val modelTurns: Long,
    val fairModelTurns: Double,
    val requests: Long,
    val requestsInsideRate: Long,
    val refusals: Map<String, Long>,
    val wrongfulRefusals: Map<String, Long>,
    val brokenConnections: Long,
    val wrongAnswers: Long,
) {
    /** What the account got of its fair share. */
    val shareRatio: Double
        get() = if (fairModelTurns == 0.0) 1.0 else modelTurns / fairModelTurns
}
