package org.chestnutloom.sidecar.schedule

import kotlin.time.Duration

/** Receives the end of a call. */
internal fun interface CallEndListener {
    /** Called with the number of tokens used and the service time; [service] is null if the call did not run. */
    fun onEnd(
        usedTokens: Long,
        service: Duration?,
    )
}
