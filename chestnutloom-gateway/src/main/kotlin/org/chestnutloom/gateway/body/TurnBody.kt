package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.chestnutloom.id.ModelName

/** A caller's request for one turn, validated against the current environment settings. */
internal sealed interface TurnBody {
    /** Hash of the whole body, used to recognise a retry of the same turn. */
    val hash: String

    /** Whether the call may be sent again when its outcome is unknown. */
    val idempotent: Boolean

    /** Whether the response is streamed as server-sent events. */
    val stream: Boolean

    /**
     * A chat completion, run by a model engine.
     *
     * @property request the chat-completions request that is sent to the engine
     */
    data class Model(
        override val hash: String,
        override val stream: Boolean,
        val model: ModelName,
        val request: JsonObject,
        val promptTokens: Long,
        val maxCompletionTokens: Long,
    ) : TurnBody {
        override val idempotent: Boolean
            get() = true
    }

    /** An HTTP request to a tool service. */
    data class Tool(
        override val hash: String,
        override val idempotent: Boolean,
        val service: String,
        val method: String,
        val path: String,
        val body: JsonElement?,
    ) : TurnBody {
        override val stream: Boolean
            get() = false
    }
}
