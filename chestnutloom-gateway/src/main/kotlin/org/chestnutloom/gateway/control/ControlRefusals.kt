package org.chestnutloom.gateway.control

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode

/** The retry delay in milliseconds when the gateway is stale or the store is unavailable. */
private const val RETRY_AFTER_MS = 500L

/** Creates the refusals of the control plane, all of requests that did not run. */
internal object ControlRefusals {
    fun stale(detail: String): Refusal = notRun(RefusalCode.GATEWAY_STALE, detail, RETRY_AFTER_MS)

    fun storeUnavailable(detail: String): Refusal = notRun(RefusalCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)

    fun unauthorized(detail: String): Refusal = notRun(RefusalCode.UNAUTHORIZED, detail, null)

    fun rateLimited(retryAfterMs: Long?): Refusal =
        notRun(RefusalCode.RATE_LIMITED, "The client account has exceeded its rate and burst.", retryAfterMs)

    private fun notRun(
        code: RefusalCode,
        detail: String,
        retryAfterMs: Long?,
    ): Refusal = Refusal(code, Execution.NOT_RUN, detail, retryAfterMs)
}
