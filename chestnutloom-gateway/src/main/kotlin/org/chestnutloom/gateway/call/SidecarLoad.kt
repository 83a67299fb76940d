package org.chestnutloom.gateway.call

import org.chestnutloom.wire.message.LoadReport
import kotlin.time.Duration

/**
 * The last known load of a sidecar.
 *
 * @property report the latest report, or null before the first
 * @property reportedAt when [report] was received, on the monotonic clock
 * @property isWatched whether the subscription to load reports is active
 * @property sentSinceReport the number of calls sent since [report]
 * @property tokensSentSinceReport the total prompt tokens of those calls
 */
internal data class SidecarLoad(
    val report: LoadReport? = null,
    val reportedAt: Duration = Duration.ZERO,
    val isWatched: Boolean = false,
    val sentSinceReport: Int = 0,
    val tokensSentSinceReport: Long = 0,
)
