package org.chestnutloom.route

import org.chestnutloom.id.TargetId

/**
 * A gateway's view of one target that can serve a call.
 *
 * @property expectedWaitMs the target's own estimate of its queue wait, in milliseconds
 * @property callsInFlight queued and running calls at the target, as last reported
 * @property maxRunningCalls the concurrency limit of the target
 * @property sentSinceReport calls that this gateway sent since the last report
 * @property tokensSentSinceReport prompt tokens of those calls
 * @property prefillTokensPerSecond prefill rate for uncached prompt tokens, or 0 if unknown
 * @property cachedTokens prompt tokens of the call's program that the target has cached
 */
public data class TargetView(
    public val id: TargetId,
    public val failureDomain: String,
    public val expectedWaitMs: Long,
    public val callsInFlight: Int,
    public val maxRunningCalls: Int,
    public val sentSinceReport: Int,
    public val tokensSentSinceReport: Long,
    public val prefillTokensPerSecond: Double,
    public val cachedTokens: Long,
)
