package org.chestnutloom.sidecar.schedule

import kotlin.time.Duration

/** Takes note of the end of a call. */
internal fun interface CallEndListener {
    /** Called with the tokens that the call used and how long it ran; [service] is null when it did not run. */
    fun onEnd(
        usedTokens: Long,
        service: Duration?,
    )
}
