package org.chestnutloom.edge.quota

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import kotlin.time.Duration

private const val MIN_RETRY_MS = 20L
private const val MAX_RETRY_MS = 2_000L

/** Refuses a request of an account whose rate limit admits another one after [expectedWait]. */
internal fun rateLimited(expectedWait: Duration): Refusal {
    val retryAfterMs = expectedWait.inWholeMilliseconds.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    return Refusal(RefusalCode.RATE_LIMITED, Execution.NOT_RUN, "The account exceeds its rate limit.", retryAfterMs)
}
