package org.chestnutloom.fakes.engine

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * One request that an engine has waiting, running or ended.
 *
 * Only the batch changes it, under the batch's lock.
 *
 * @property logNumber the request's number in the request log
 */
internal class EngineRun(
    val requestId: String,
    val programId: String?,
    val request: ChatRequest,
    val logNumber: Int,
    private val tokensPerChunk: Int,
) {
    val prompt: String = request.promptText()
    val promptTokens: Long = tokenCount(prompt.length)
    val answerTokens: Int = request.answerTokens
    val progress = MutableStateFlow(RunProgress(0, null))

    /** Tokens of the prompt that the cache held when the request began to run. */
    var cachedTokens: Long = 0

    /** Tokens of the prompt that are prefilled, with those from the cache. */
    var prefilledTokens: Double = 0.0

    /** Tokens that the decode time so far is worth. */
    var decodedTokens: Double = 0.0

    val isPrefilled: Boolean
        get() = prefilledTokens >= promptTokens

    /** The number of chunks of the whole answer; the last one carries no text. */
    val chunkCount: Int
        get() = textChunkCount + 1

    private val textChunkCount: Int
        get() = (answerTokens + tokensPerChunk - 1) / tokensPerChunk

    /** Returns the text of chunk [index], or null for the last one. */
    fun chunkText(index: Int): String? {
        if (index >= textChunkCount) return null
        val from = index * tokensPerChunk
        val until = minOf(from + tokensPerChunk, answerTokens)
        return GeneratedText.range(request.model, request.lastMessage, from, until)
    }

    /** Waits until chunk [index] is there, and returns false when the request was cancelled instead. */
    suspend fun awaitChunk(index: Int): Boolean {
        val reached = progress.first { it.end != null || chunksReady(it.tokens) > index }
        return reached.end == RunEnd.COMPLETE || chunksReady(reached.tokens) > index
    }

    /** Waits until the request has ended. */
    suspend fun awaitEnd(): RunEnd = progress.first { it.end != null }.end ?: RunEnd.CANCELLED

    fun answerText(): String = GeneratedText.full(request.model, request.lastMessage, answerTokens)

    private fun chunksReady(tokens: Int): Int = if (tokens >= answerTokens) textChunkCount else tokens / tokensPerChunk
}
