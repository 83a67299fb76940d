package org.chestnutloom.program

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.Usage

/**
 * The outcome of a completed turn, which is returned for every retry of the turn.
 *
 * @property bodyHash hash of the turn's body
 * @property callee the model or plain service that the turn called
 * @property status the HTTP status of the target's response, or 0 if [refusal] is set
 * @property answer the target's response body, or null if [refusal] is set
 * @property events the payloads of the server-sent events of a streamed response
 * @property refusal why there is no response and never will be one, or null
 */
@Serializable
public data class TurnRecord(
    public val turnNumber: Int,
    public val bodyHash: String,
    public val kind: CallKind,
    public val callee: String,
    public val status: Int,
    public val answer: JsonElement?,
    public val events: List<String>,
    public val usage: Usage,
    public val refusal: Refusal? = null,
)
