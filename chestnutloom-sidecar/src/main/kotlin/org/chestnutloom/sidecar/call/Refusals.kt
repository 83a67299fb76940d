package org.chestnutloom.sidecar.call

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode

/** The refusals that a sidecar gives. */
internal object Refusals {
    val memoryFull = notRun(RefusalCode.OVERLOADED, "The sidecar has no memory for the answer.", retryAfterMs = 1_000)
    val idsFull = notRun(RefusalCode.OVERLOADED, "The sidecar's table of call ids is full.", retryAfterMs = 5_000)
    val queueTimeout = notRun(RefusalCode.OVERLOADED, "The call exceeded its queue timeout.")
    val fenced = notRun(RefusalCode.CANCELLED, "The call was already reported as not run.")
    val cancelledInQueue = notRun(RefusalCode.CANCELLED, "The call was cancelled before it started.")
    val keyWithdrawn = notRun(RefusalCode.UNAUTHORIZED, "The key was withdrawn before the call started.")
    val senderStale = notRun(RefusalCode.GATEWAY_STALE, "The gateway has no current freshness proof.")
    val olderOwner = notRun(RefusalCode.GATEWAY_STALE, "The program is owned by another gateway.")
    val stopping = notRun(RefusalCode.STOPPING, "The sidecar is stopping.", retryAfterMs = 0)
    val badRequest = notRun(RefusalCode.BAD_REQUEST, "The call cannot be sent as an HTTP request.")
    val quarantined = notRun(RefusalCode.QUARANTINED, "Earlier calls with this body crashed their targets.")
    val forgotten =
        Refusal(RefusalCode.TARGET_LOST, Execution.RAN, "The call ran, but its answer is no longer available.")
    val mismatch =
        Refusal(RefusalCode.TURN_MISMATCH, Execution.UNKNOWN, "Another body was sent under the same call id.")
    val cancelled = Refusal(RefusalCode.CANCELLED, Execution.UNKNOWN, "The call was cancelled while it was running.")
    val keyWithdrawnWhileRunning =
        Refusal(RefusalCode.UNAUTHORIZED, Execution.UNKNOWN, "The key was withdrawn while the call was running.")
    val timeout = Refusal(RefusalCode.TIMEOUT, Execution.UNKNOWN, "The call exceeded its run timeout.")
    val targetLost =
        Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, "The connection to the target failed during the call.")
    val responseTooLarge =
        Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "The response of the target exceeds the maximum size.")
    val internal = Refusal(RefusalCode.INTERNAL, Execution.UNKNOWN, "An internal error occurred in the sidecar.")

    fun overloaded(waitMs: Long): Refusal =
        notRun(RefusalCode.OVERLOADED, "The expected wait exceeds the queue timeout of the call.", waitMs)

    fun notRun(
        code: RefusalCode,
        detail: String,
        retryAfterMs: Long? = null,
    ): Refusal = Refusal(code, Execution.NOT_RUN, detail, retryAfterMs)
}
