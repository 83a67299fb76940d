package org.chestnutloom.fakes.load

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.chestnutloom.fakes.workload.TurnPlan

/** Builds the JSON bodies of callers' requests. */
internal object RequestBodies {
    private const val ROOT_TOKENS = 50_000_000L
    private const val CHILD_TOKENS = 1_000_000L
    private const val ROOT_CALLS = 1_000L
    private const val CHILD_CALLS = 20L
    private const val WALL_TIME_MS = 600_000L

    /** Returns the body that opens a program, or a sub-agent of [parent] if one is given. */
    fun open(
        name: String,
        parent: String?,
    ): JsonObject =
        buildJsonObject {
            put("id", name)
            parent?.let { put("parent", it) }
            putJsonObject("budget") {
                put("tokens", if (parent == null) ROOT_TOKENS else CHILD_TOKENS)
                put("calls", if (parent == null) ROOT_CALLS else CHILD_CALLS)
                put("wall_time_ms", WALL_TIME_MS)
            }
        }

    /** Returns the body of a model turn with the prompt [messages]. */
    fun model(
        model: String,
        turn: TurnPlan,
        messages: List<PromptMessage>,
    ): JsonObject =
        buildJsonObject {
            put("kind", "model")
            putJsonObject("request") {
                put("model", model)
                put("stream", turn.streams)
                put("max_tokens", turn.completionTokens)
                put("messages", array(messages))
            }
        }

    /** Returns the body of a non-idempotent tool turn. */
    fun tool(
        service: String,
        turn: TurnPlan,
    ): JsonObject =
        buildJsonObject {
            put("kind", "tool")
            put("service", service)
            put("method", "POST")
            put("path", "/run")
            put("idempotent", false)
            // The planner pads messages with the letter m; the effect is named by the text before the padding.
            putJsonObject("body") { put("effect", turn.message.trimEnd('m')) }
        }

    private fun array(messages: List<PromptMessage>): JsonArray =
        buildJsonArray {
            messages.forEach {
                addJsonObject {
                    put("role", it.role)
                    put("content", it.content)
                }
            }
        }
}
