package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId

/**
 * One call to a target, as sent to its sidecar.
 *
 * @property attempt the number of this attempt of an idempotent call, from 1
 * @property ownerEpoch the fencing token of the gateway that owns the program; sidecars reject lower tokens
 * @property account the client account; null on unauthenticated routes
 * @property key the access key of the request; null on unauthenticated routes
 * @property model the model to run; null for tool calls
 * @property service the name of the service; null for model calls
 * @property method the HTTP method
 * @property path the HTTP path and query at the target
 * @property body the request body for the target
 * @property bodyHash hash of account and body, under which crashes are counted
 * @property promptTokens estimated number of prompt tokens
 * @property maxCompletionTokens the maximum number of tokens that the call may generate
 * @property programServiceMs service time that the program has used so far, in milliseconds
 * @property queueTimeoutMs the maximum time in the queue, in milliseconds
 * @property runTimeoutMs the maximum run time at the target, in milliseconds
 * @property traceParent W3C trace context of the calling span
 * @property runAlone whether the call must run without other calls at the target, because its body is suspected of
 *   causing a crash
 */
@Serializable
public data class CallRequest(
    public val id: CallId,
    public val attempt: Int,
    public val ownerEpoch: Long,
    public val kind: CallKind,
    public val idempotent: Boolean,
    public val program: ProgramId?,
    public val account: ClientAccountId?,
    public val key: KeyId?,
    public val accountWeight: Int,
    public val model: ModelName?,
    public val service: String?,
    public val method: String,
    public val path: String,
    public val contentType: String,
    public val body: String,
    public val bodyHash: String,
    public val stream: Boolean,
    public val promptTokens: Long,
    public val maxCompletionTokens: Long,
    public val programServiceMs: Long,
    public val queueTimeoutMs: Long,
    public val runTimeoutMs: Long,
    public val traceParent: String?,
    public val runAlone: Boolean = false,
)
