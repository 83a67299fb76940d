package org.chestnutloom.sidecar.target

import kotlinx.coroutines.flow.Flow
import org.chestnutloom.id.CallId
import org.chestnutloom.wire.message.CallRequest

/** The target that the sidecar serves. */
internal interface Target {
    /** Sends [call] once; the flow ends with a complete response or with [TargetEvent.Failed], and does not throw. */
    fun run(
        call: CallRequest,
        traceParent: String?,
    ): Flow<TargetEvent>

    /** Resumes a streamed response at chunk [fromChunk]; only engines support this. */
    fun resume(
        id: CallId,
        fromChunk: Int,
    ): Flow<TargetEvent>

    /** Requests the cancellation of [id] on a best-effort basis. */
    suspend fun cancel(id: CallId)

    /** Checks whether the target responds. */
    suspend fun probe(): TargetHealth

    /** Closes all connections. */
    fun close()
}
