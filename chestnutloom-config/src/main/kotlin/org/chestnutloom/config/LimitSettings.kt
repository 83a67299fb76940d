package org.chestnutloom.config

import kotlin.time.Duration

/**
 * Limits that hold for all client accounts of an environment.
 *
 * @property maxBodyBytes the largest body that a caller may send
 * @property queueTimeout how long a call may wait for its target
 * @property modelRunTimeout how long a model call may run
 * @property toolRunTimeout how long a tool call may run
 * @property earlyTurnWait how long a turn that comes too early waits for the turns before it
 * @property abandonAfter how long a program may go without a request before it counts as abandoned
 * @property retryRatio repeats of idempotent calls as a share of first sendings
 */
public data class LimitSettings(
    public val maxBodyBytes: Long,
    public val queueTimeout: Duration,
    public val modelRunTimeout: Duration,
    public val toolRunTimeout: Duration,
    public val earlyTurnWait: Duration,
    public val abandonAfter: Duration,
    public val retryRatio: Double,
)
