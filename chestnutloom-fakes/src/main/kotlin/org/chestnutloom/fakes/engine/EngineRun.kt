package org.chestnutloom.fakes.engine

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * One request to an engine, from arrival until it is evicted from [RecentRuns].
 *
 * Its state is modified only by [Batch], under the lock of the batch.
 *
 * @property logNumber the number of the request in the request log
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
    val completionTokens: Int = request.completionTokens
    val progress = MutableStateFlow(RunProgress(0, null))

    /** The prompt tokens that were in the cache when the request started to run. */
    var cachedTokens: Long = 0

    /** The prompt tokens prefilled so far, including those from the cache. */
    var prefilledTokens: Double = 0.0

    /** The tokens decoded so far, including the fraction of a token in progress. */
    var decodedTokens: Double = 0.0

    val isPrefilled: Boolean
        get() = prefilledTokens >= promptTokens

    /** The number of chunks of the complete stream; the last chunk has no text. */
    val chunkCount: Int
        get() = textChunkCount + 1

    private val textChunkCount: Int
        get() = (completionTokens + tokensPerChunk - 1) / tokensPerChunk

    /** Returns the text of chunk [index], or null for the last chunk. */
    fun chunkText(index: Int): String? {
        if (index >= textChunkCount) return null
        val from = index * tokensPerChunk
        val until = minOf(from + tokensPerChunk, completionTokens)
        return GeneratedText.range(request.model, request.lastMessage, from, until)
    }

    /** Waits until chunk [index] is available. Returns false if the request was cancelled before that. */
    suspend fun awaitChunk(index: Int): Boolean {
        val reached = progress.first { it.outcome != null || chunksReady(it.tokens) > index }
        return reached.outcome == RunOutcome.COMPLETE || chunksReady(reached.tokens) > index
    }

    /** Waits until the request has ended, and returns its outcome. */
    suspend fun awaitOutcome(): RunOutcome = progress.first { it.outcome != null }.outcome ?: RunOutcome.CANCELLED

    fun completionText(): String = GeneratedText.full(request.model, request.lastMessage, completionTokens)

    private fun chunksReady(tokens: Int): Int =
        if (tokens >= completionTokens) textChunkCount else tokens / tokensPerChunk
}
