package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * A client account of a workload.
 *
 * @property ratePerSecond rate limit of the account, in requests per second
 * @property programsPerSecond arrival rate of programs, before it is multiplied by [overload]
 * @property overload factor by which the arrival rate is multiplied; above 1, the account exceeds its rate limit
 */
@Serializable
internal data class WorkloadAccount(
    val name: String,
    val ratePerSecond: Double,
    val burst: Int,
    val weight: Int = 1,
    val programsPerSecond: Double,
    val overload: Double = 1.0,
)
