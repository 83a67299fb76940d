package org.chestnutloom.sidecar.gate

import kotlin.time.Duration

/**
 * What one heartbeat said, and when it came on the monotonic clock.
 *
 * @property proofAge the age of the sender's proof at that time, or null when it had none
 */
internal data class ReceivedBeat(
    val receivedAt: Duration,
    val proofAge: Duration?,
)
