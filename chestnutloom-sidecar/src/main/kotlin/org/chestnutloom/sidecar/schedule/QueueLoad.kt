package org.chestnutloom.sidecar.schedule

import kotlin.time.Duration

/**
 * Load of a target.
 *
 * @property expectedWait expected queueing time of a call that arrives now
 */
internal data class QueueLoad(
    val queuedCalls: Int,
    val queuedTokens: Long,
    val runningCalls: Int,
    val expectedWait: Duration,
)
