package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a sidecar to run a call at most once.
 *
 * Replies: [CallAccepted], then [CallStarted], [CallChunk]s and one [CallEnded], or one [CallRefused]. If the sidecar
 * already has a call with this id, it does not run it again: the replies resume from [fromChunk] of the earlier run.
 */
@Serializable
@SerialName("run")
public data class RunCall(
    public val call: CallRequest,
    public val fromChunk: Int = 0,
) : LinkRequest
