package org.chestnutloom.route

import org.chestnutloom.id.TargetId

/**
 * What a gateway knows of one target that can serve a call.
 *
 * @property expectedWaitMs the target's own estimate of the time in its queue, in milliseconds
 * @property callsInFlight calls that wait or run at the target, as it last reported
 * @property maxRunningCalls the most calls that run at the target at once
 * @property sentSinceReport calls that this gateway sent since that report
 * @property tokensSentSinceReport prompt tokens of those calls
 * @property prefillTokensPerSecond speed of uncached prompt tokens; 0 when not known
 * @property cachedTokens prompt tokens of the call's program that the target holds
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
