package org.chestnutloom.queue

import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration

/**
 * A call in a [CallQueue].
 *
 * @property account the client account, or null on open routes, which together count as one account
 * @property weight the account's weight relative to other accounts, at least 1
 * @property costTokens estimated cost of the call in tokens, at least 1
 * @property programServiceMs service time that the whole program has received, in milliseconds
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
