package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId

/**
 * A sidecar's view of its own queue and target.
 *
 * @property queuedCalls calls in the queue
 * @property queuedTokens prompt tokens of the calls in the queue
 * @property runningCalls calls at the target
 * @property expectedWaitMs expected time in the queue for a call that arrives now, in milliseconds
 * @property prefillTokensPerSecond recent speed of uncached prompt tokens; 0 when not known
 * @property cachedPrograms prompt tokens that the engine holds for each program
 * @property inFlightHashes body hashes of the calls at the target, kept by gateways in case the target crashes
 * @property crashedHashes body hashes that were at the target when it crashed
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
