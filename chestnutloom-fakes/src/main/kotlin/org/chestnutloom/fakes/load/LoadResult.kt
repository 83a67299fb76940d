package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable

/**
 * The measurements of one run of a workload.
 *
 * @property latency program latency over all client accounts within their rate
 * @property worstP95Ms the highest p95 of an account within its rate
 * @property medianP95Ms the median p95 of these accounts
 * @property worstShareRatio the lowest ratio of completed model turns to the fair share, over accounts within their
 * rate
 * @property requestsInsideRate requests of accounts within their rate that the rate and burst allow
 * @property wrongfulRefusals refusals of such requests; accounts that exceed their rate are excluded, because each
 * refusal that leaves part of their rate unused would count
 * @property duplicateEffects tool effects that were executed more than once
 */
@Serializable
internal data class LoadResult(
    val workload: String,
    val seed: Long,
    val latency: LatencySummary,
    val worstP95Ms: Long,
    val medianP95Ms: Long,
    val worstShareRatio: Double,
    val requests: Long,
    val requestsInsideRate: Long,
    val wrongfulRefusals: Long,
    val wrongAnswers: Long,
    val duplicateEffects: Int,
    val cache: CacheWaste,
    val accounts: List<AccountResult>,
) {
    /** Wrongful refusals per request within its account's rate. */
    val wrongfulRefusalRatio: Double
        get() = if (requestsInsideRate == 0L) 0.0 else wrongfulRefusals.toDouble() / requestsInsideRate

    /** The highest p95 of an account divided by the median p95. */
    val worstToMedianRatio: Double
        get() = if (medianP95Ms == 0L) 0.0 else worstP95Ms.toDouble() / medianP95Ms
}
