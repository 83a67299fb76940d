package org.chestnutloom.fakes.engine

import kotlinx.serialization.json.Json
import org.chestnutloom.time.Clock

private const val FINISHED = "stop"
private const val ANSWER_ROLE = "assistant"

private val completionJson =
    Json {
        encodeDefaults = true
        explicitNulls = false
    }

/** Writes the answers of an engine in the chat-completions shape. */
internal class Completions(
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
                finishReason = if (text == null) FINISHED else null,
            )
        return encode(run, "chat.completion.chunk", choice, if (text == null) usage(run) else null)
    }

    fun whole(run: EngineRun): String {
        val choice =
            CompletionChoice(message = CompletionMessage(ANSWER_ROLE, run.answerText()), finishReason = FINISHED)
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
        val completionTokens = run.answerTokens.toLong()
        return CompletionUsage(
            promptTokens = run.promptTokens,
            completionTokens = completionTokens,
            totalTokens = run.promptTokens + completionTokens,
            promptDetails = PromptDetails(run.cachedTokens),
        )
    }
}
