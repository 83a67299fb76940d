package org.chestnutloom.fakes.workload

import kotlinx.serialization.Serializable

/**
 * The processes that a workload runs on.
 *
 * @property failureDomains the failure domains that VMs are spread over, in turn
 * @property maxRunning the most calls that a sidecar runs on its engine at once
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
