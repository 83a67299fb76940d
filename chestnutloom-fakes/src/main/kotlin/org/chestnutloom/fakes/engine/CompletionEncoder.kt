package org.chestnutloom.fakes.engine

import kotlinx.serialization.json.Json
import org.chestnutloom.time.Clock

private const val FINISH_REASON = "stop"
private const val ASSISTANT_ROLE = "assistant"

private val completionJson =
    Json {
        encodeDefaults = true
        explicitNulls = false
    }

/** Encodes the responses of an engine in the chat-completions format. */
internal class CompletionEncoder(
    private val clock: Clock,
) {
    fun chunk(
        run: EngineRun,
        index: Int,
    ): String {
        val text = run.chunkText(index)
        val choice =
            CompletionChoice(
                delta = CompletionMessage(content = text),
                finishReason = if (text == null) FINISH_REASON else null,
            )
        return encode(run, "chat.completion.chunk", choice, if (text == null) usage(run) else null)
    }

    fun complete(run: EngineRun): String {
        val choice =
            CompletionChoice(
                message = CompletionMessage(ASSISTANT_ROLE, run.completionText()),
                finishReason = FINISH_REASON,
            )
        return encode(run, "chat.completion", choice, usage(run))
    }

    private fun encode(
        run: EngineRun,
        type: String,
        choice: CompletionChoice,
        usage: CompletionUsage?,
    ): String {
        val created = clock.now().epochSecond
        val completion = Completion(run.requestId, type, created, run.request.model, listOf(choice), usage)
        return completionJson.encodeToString(completion)
    }

    private fun usage(run: EngineRun): CompletionUsage {
        val completionTokens = run.completionTokens.toLong()
        return CompletionUsage(
            promptTokens = run.promptTokens,
            completionTokens = completionTokens,
            totalTokens = run.promptTokens + completionTokens,
            promptDetails = PromptDetails(run.cachedTokens),
        )
    }
}
