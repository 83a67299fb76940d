package org.chestnutloom.gateway.body

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.chestnutloom.id.ModelName

/** What a caller asks of one turn, checked against the settings in force. */
internal sealed interface TurnBody {
    /** Hash of the whole body, by which a repeat is recognised. */
    val hash: String

    /** Whether the call may be repeated after its outcome got lost. */
    val idempotent: Boolean

    /** Whether the answer is streamed as server-sent events. */
    val stream: Boolean

    /**
     * A completion by a model engine.
     *
     * @property request the chat-completions request as the engine is to receive it
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

    /** A request to a plain service. */
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
