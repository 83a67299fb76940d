package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a sidecar to run a call once.
 *
 * Replies: [CallAccepted], then [CallStarted], [CallChunk]s and one [CallEnded], or one [CallRefused]. An id that the
 * sidecar already has is not run again: the replies continue from [fromChunk] of the run it has.
 */
@Serializable
@SerialName("run")
public data class RunCall(
    public val call: CallRequest,
    public val fromChunk: Int = 0,
) : LinkRequest
