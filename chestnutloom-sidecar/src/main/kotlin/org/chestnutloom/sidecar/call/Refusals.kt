package org.chestnutloom.sidecar.call

import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode

/** The refusals that a sidecar gives. */
internal object Refusals {
    val memoryFull = notRun(RefusalCode.OVERLOADED, "The sidecar has no room for another answer.", retryAfterMs = 1_000)
    val idsFull = notRun(RefusalCode.OVERLOADED, "The sidecar remembers as many calls as it may.", retryAfterMs = 5_000)
    val queueTimeout = notRun(RefusalCode.OVERLOADED, "The call waited for its target longer than it may.")
    val fenced = notRun(RefusalCode.CANCELLED, "The call was reported as not run before.")
    val cancelledInQueue = notRun(RefusalCode.CANCELLED, "The call was cancelled before its start.")
    val keyWithdrawn = notRun(RefusalCode.UNAUTHORIZED, "The key was withdrawn before the call started.")
    val senderStale = notRun(RefusalCode.GATEWAY_STALE, "The gateway's proof of currency is too old.")
    val olderOwner = notRun(RefusalCode.GATEWAY_STALE, "Another gateway owns the program now.")
    val stopping = notRun(RefusalCode.STOPPING, "The sidecar is stopping.", retryAfterMs = 0)
    val badRequest = notRun(RefusalCode.BAD_REQUEST, "The call cannot be sent as an HTTP request.")
    val quarantined = notRun(RefusalCode.QUARANTINED, "Calls with this body crashed targets before.")
    val forgotten =
        Refusal(RefusalCode.TARGET_LOST, Execution.RAN, "The call ran, and its answer is not kept any more.")
    val mismatch =
        Refusal(RefusalCode.TURN_MISMATCH, Execution.UNKNOWN, "Another body was sent under the same call id.")
    val cancelled = Refusal(RefusalCode.CANCELLED, Execution.UNKNOWN, "The call was cancelled while it ran.")
    val keyWithdrawnInRun =
        Refusal(RefusalCode.UNAUTHORIZED, Execution.UNKNOWN, "The key was withdrawn while the call ran.")
    val timeout = Refusal(RefusalCode.TIMEOUT, Execution.UNKNOWN, "The call ran longer than it may.")
    val targetLost =
        Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, "The connection to the target failed during the call.")
    val answerTooLarge =
        Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "The target's answer is larger than a sidecar carries.")
    val internal = Refusal(RefusalCode.INTERNAL, Execution.UNKNOWN, "The sidecar failed during the call.")

    fun overloaded(waitMs: Long): Refusal =
        notRun(RefusalCode.OVERLOADED, "The expected wait is longer than the call may wait.", waitMs)

    fun notRun(
        code: RefusalCode,
        detail: String,
        retryAfterMs: Long? = null,
    ): Refusal = Refusal(code, Execution.NOT_RUN, detail, retryAfterMs)
}
