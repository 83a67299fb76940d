package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable

/**
 * The results of one client account.
 *
 * @property insideRate whether the workload keeps the account within its rate limit
 * @property latency program latency; a failed program counts with the deadline as its latency
 * @property modelTurns completed model turns
 * @property fairModelTurns the account's max-min fair share of all completed model turns
 * @property wrongfulRefusals requests within the rate and burst that were refused for rate or capacity, by error code
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
    /** Completed model turns divided by the fair share. */
    val shareRatio: Double
        get() = if (fairModelTurns == 0.0) 1.0 else modelTurns / fairModelTurns
}
