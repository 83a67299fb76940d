package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.ProgramId

/**
 * One call for a target, as its sidecar receives it.
 *
 * @property attempt counts the sendings of an idempotent call, from 1
 * @property ownerEpoch the fencing epoch of the gateway that owns the program; sidecars refuse lower ones
 * @property account null on routes that are open to all
 * @property key the access key that the request came with; null on routes that are open to all
 * @property model the model to run; null for tool calls
 * @property service the plain service's name; null for model calls
 * @property method HTTP method
 * @property path HTTP path and query at the target
 * @property body the body as the target is to receive it
 * @property bodyHash hash of account and body, by which crashes are counted
 * @property promptTokens estimated tokens of the prompt
 * @property maxCompletionTokens the most tokens that the call may generate
 * @property programServiceMs service that the whole program got so far, in milliseconds
 * @property queueTimeoutMs how long the call may wait in the queue, in milliseconds
 * @property runTimeoutMs how long the call may run at the target, in milliseconds
 * @property traceParent W3C trace context of the calling span
 * @property runAlone whether nothing else may run at the target beside the call, because its body is suspected of a
 *   crash
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
