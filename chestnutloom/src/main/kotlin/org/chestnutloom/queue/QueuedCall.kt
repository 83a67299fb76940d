package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration

/**
 * What a queue knows of a waiting call.
 *
 * @property account null on routes that are open to all, which share one place among the accounts
 * @property weight the account's share relative to other accounts, at least 1
 * @property costTokens estimated tokens that the call takes, at least 1
 * @property programServiceMs service that the whole program got so far, in milliseconds
 * @property arrivedAt when the call arrived, on the monotonic clock
 */
public data class QueuedCall(
    public val id: CallId,
    public val account: ClientAccountId?,
    public val weight: Int,
    public val costTokens: Long,
    public val programServiceMs: Long,
    public val arrivedAt: Duration,
)
