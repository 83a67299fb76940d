package org.chestnutloom.fakes.load

import kotlinx.serialization.Serializable

/**
 * What one run of a workload measured.
 *
 * @property latency program latency over all client accounts inside their rate
 * @property worstP95Ms the highest p95 of an account inside its rate
 * @property medianP95Ms the median of these accounts' p95
 * @property worstShareRatio the lowest share, against its fair share, of an account inside its rate
 * @property requestsInsideRate requests of the accounts inside their rate that their rate and burst allow
 * @property wrongfulRefusals refusals of such requests; an account that sends more than its rate is left out, since
 * each refusal that leaves some of its rate unused would count
 * @property duplicateEffects effects that a tool ran more than once
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
    /** Wrongful refusals for each request inside its account's rate. */
    val wrongfulRefusalRatio: Double
        get() = if (requestsInsideRate == 0L) 0.0 else wrongfulRefusals.toDouble() / requestsInsideRate

    /** The worst-served account's p95 against the median account's. */
    val worstToMedianRatio: Double
        get() = if (medianP95Ms == 0L) 0.0 else worstP95Ms.toDouble() / medianP95Ms
}
