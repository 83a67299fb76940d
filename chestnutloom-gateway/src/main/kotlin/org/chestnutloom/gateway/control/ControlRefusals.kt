package org.chestnutloom.gateway.control

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode

/** How soon a caller should try again when the gateway's own state stands in the way, in milliseconds. */
private const val RETRY_AFTER_MS = 500L

/** Makes the refusals of the control plane; none of the refused requests ran. */
internal object ControlRefusals {
    fun stale(detail: String): Refusal = notRun(RefusalCode.GATEWAY_STALE, detail, RETRY_AFTER_MS)

    fun storeUnavailable(detail: String): Refusal = notRun(RefusalCode.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)

    fun unauthorized(detail: String): Refusal = notRun(RefusalCode.UNAUTHORIZED, detail, null)

    fun rateLimited(retryAfterMs: Long?): Refusal =
        notRun(RefusalCode.RATE_LIMITED, "The client account is over its rate and burst.", retryAfterMs)

    private fun notRun(
        code: RefusalCode,
        detail: String,
        retryAfterMs: Long?,
    ): Refusal = Refusal(code, Execution.NOT_RUN, detail, retryAfterMs)
}
