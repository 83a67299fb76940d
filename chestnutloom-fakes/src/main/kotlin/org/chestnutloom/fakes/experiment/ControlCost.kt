package org.chestnutloom.fakes.experiment

import kotlinx.serialization.Serializable

/**
 * Resources used by the gateways and sidecars, and the load on the table service, during a run.
 *
 * @property gatewayProcessorMsPerRequest CPU time of all gateways per request
 * @property sidecarProcessorMsPerRequest CPU time of all sidecars per request
 * @property gatewayResidentMb resident memory of the largest gateway at the end
 * @property sidecarResidentMb resident memory of the largest sidecar at the end
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
