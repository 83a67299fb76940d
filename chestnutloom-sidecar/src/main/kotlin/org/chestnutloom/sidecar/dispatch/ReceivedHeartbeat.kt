package org.chestnutloom.sidecar.dispatch

import kotlin.time.Duration

/**
 * The content of one heartbeat, and its arrival time on the monotonic clock.
 *
 * @property proofAge age of the sender's freshness proof at that time, or null if it had none
 */
internal data class ReceivedHeartbeat(
    val receivedAt: Duration,
    val proofAge: Duration?,
)
