package org.chestnutloom.sidecar.target

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.id.CallId
import org.chestnutloom.wire.message.CallRequest

/** The target that the sidecar stands beside. */
internal interface Target {
    /** Sends [call] once; the flow ends with a whole answer or a failure and never throws one. */
    fun run(
        call: CallRequest,
        traceParent: String?,
    ): Flow<TargetEvent>

    /** Goes on with a streamed answer from chunk [fromChunk]; only engines can. */
    fun resume(
        id: CallId,
        fromChunk: Int,
    ): Flow<TargetEvent>

    /** Asks the target to stop the request [id], as far as it can. */
    suspend fun cancel(id: CallId)

    /** Tells whether the target's process answers now. */
    suspend fun probe(): TargetHealth

    /** Closes all connections. */
    fun close()
}
