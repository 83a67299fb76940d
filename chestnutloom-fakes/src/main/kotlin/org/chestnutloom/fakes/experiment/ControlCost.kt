package org.chestnutloom.fakes.experiment

import kotlinx.serialization.Serializable

/**
 * What chestnutloom's own processes and the table service spent on a run.
 *
 * @property gatewayProcessorMsPerRequest processor time of all gateways for one request
 * @property sidecarProcessorMsPerRequest processor time of all sidecars for one request
 * @property gatewayResidentMb the largest gateway's memory at the end
 * @property sidecarResidentMb the largest sidecar's memory at the end
 */
@Serializable
internal data class ControlCost(
    val gatewayProcessorMsPerRequest: Double,
    val sidecarProcessorMsPerRequest: Double,
    val gatewayResidentMb: Double,
    val sidecarResidentMb: Double,
    val tableReadsPerSecond: Double,
    val tableTransactionsPerSecond: Double,
)
