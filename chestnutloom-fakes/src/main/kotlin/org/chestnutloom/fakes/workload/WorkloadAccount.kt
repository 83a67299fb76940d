package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * A client account of a workload.
 *
 * @property ratePerSecond requests a second that the account may send
 * @property programsPerSecond programs a second that arrive, before [overload]
 * @property overload by how much the account multiplies its programs; above 1 it goes over its rate
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
