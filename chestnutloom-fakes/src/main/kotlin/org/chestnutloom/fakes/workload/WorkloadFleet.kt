package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * The fleet that a workload runs on.
 *
 * @property failureDomains the failure domains that VMs are assigned to in round-robin order
 * @property maxRunning the maximum number of concurrent calls that a sidecar runs on its engine
 */
@Serializable
internal data class WorkloadFleet(
    val gateways: Int,
    val engines: Int,
    val tools: Int,
    val failureDomains: List<String>,
    val maxRunning: Int,
    val engineBatch: Int,
    val prefillTokensPerSecond: Double,
    val decodeMsPerStep: Int,
    val cacheTokens: Int,
)
