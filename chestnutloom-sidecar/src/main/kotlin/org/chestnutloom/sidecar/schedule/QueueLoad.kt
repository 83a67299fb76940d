package org.chestnutloom.sidecar.schedule

import kotlin.time.Duration

/**
 * How busy a target is.
 *
 * @property expectedWait expected time in the queue for a call that arrives now
 */
internal data class QueueLoad(
    val queuedCalls: Int,
    val queuedTokens: Long,
    val runningCalls: Int,
    val expectedWait: Duration,
)
