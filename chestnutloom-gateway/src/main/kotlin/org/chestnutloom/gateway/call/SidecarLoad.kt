package org.chestnutloom.gateway.call

import org.chestnutloom.wire.message.LoadReport
import kotlin.time.Duration

/**
 * What a gateway knows of a sidecar's load.
 *
 * @property report the newest report, or null before the first
 * @property reportedAt when [report] came, on the monotonic clock
 * @property isWatched whether reports arrive
 * @property sentSinceReport calls sent since [report]
 * @property tokensSentSinceReport prompt tokens of those calls
 */
internal data class SidecarLoad(
    val report: LoadReport? = null,
    val reportedAt: Duration = Duration.ZERO,
    val isWatched: Boolean = false,
    val sentSinceReport: Int = 0,
    val tokensSentSinceReport: Long = 0,
)
