package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId

/**
 * The load of a sidecar's queue and target.
 *
 * @property queuedCalls calls in the queue
 * @property queuedTokens estimated total cost of the calls in the queue: prompt tokens and maximum completion tokens
 * @property runningCalls calls running at the target
 * @property expectedWaitMs expected queueing time of a call that arrives now, in milliseconds
 * @property prefillTokensPerSecond recent prefill throughput for uncached prompt tokens; 0 if unknown
 * @property cachedPrograms the number of prompt tokens that the engine has cached for each program
 * @property inFlightHashes body hashes of the calls running at the target; gateways keep them in case of a crash
 * @property crashedHashes body hashes of the calls that were running when the target crashed
 */
@Serializable
@SerialName("load")
public data class LoadReport(
    public val queuedCalls: Int,
    public val queuedTokens: Long,
    public val runningCalls: Int,
    public val maxRunningCalls: Int,
    public val expectedWaitMs: Long,
    public val prefillTokensPerSecond: Double,
    public val models: List<ModelName>,
    public val services: List<String>,
    public val cachedPrograms: Map<ProgramId, Long>,
    public val inFlightHashes: List<String>,
    public val crashedHashes: List<String>,
    public val draining: Boolean,
    public val targetReachable: Boolean,
) : LinkReply
