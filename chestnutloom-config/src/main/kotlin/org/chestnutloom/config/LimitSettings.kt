package org.chestnutloom.config

import kotlin.time.Duration

/**
 * Limits that apply to all client accounts of an environment.
 *
 * @property maxBodyBytes the maximum size of a request body
 * @property queueTimeout how long a call may be queued for its target
 * @property modelRunTimeout how long a model call may run
 * @property toolRunTimeout how long a tool call may run
 * @property earlyTurnWait how long a turn that arrives out of order waits for the preceding turns
 * @property abandonAfter how long a program may go without a request before it is marked as abandoned
 * @property retryRatio the maximum ratio of retries of idempotent calls to first attempts
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
