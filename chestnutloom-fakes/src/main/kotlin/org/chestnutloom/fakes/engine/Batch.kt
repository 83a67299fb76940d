package org.chestnutloom.fakes.engine

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The requests of one engine: those that run together and those that wait, in the order they came.
 *
 * Prefill goes to the oldest requests first. While some requests prefill and others decode, each kind gets half the
 * time.
 */
internal class Batch(
    private val settings: EngineSettings,
    private val cache: PrefixCache,
    private val listener: BatchListener,
) {
    private val lock = Any()
    private val waiting = ArrayDeque<EngineRun>()
    private val running = mutableListOf<EngineRun>()

    val runningCount: Int
        get() = synchronized(lock) { running.size }

    val waitingCount: Int
        get() = synchronized(lock) { waiting.size }

    val isIdle: Boolean
        get() = synchronized(lock) { running.isEmpty() && waiting.isEmpty() }

    fun submit(run: EngineRun) {
        synchronized(lock) {
            waiting += run
            admit()
        }
    }

    fun cancel(run: EngineRun) {
        synchronized(lock) {
            val wasRunning = running.remove(run)
            if (!wasRunning && !waiting.remove(run)) return
            if (wasRunning) keepPrefix(run, run.prompt.take(prefilledCharacters(run)))
            end(run, RunEnd.CANCELLED)
            admit()
        }
    }

    /** Lets [elapsed] of the engine's time pass. */
    fun advance(elapsed: Duration) {
        synchronized(lock) {
            val prefilling = running.filterNot(EngineRun::isPrefilled)
            val decoding = running.filter(EngineRun::isPrefilled)
            val share = if (prefilling.isEmpty() || decoding.isEmpty()) WHOLE else HALF
            prefill(prefilling, elapsed * share)
            decoding.forEach { decode(it, elapsed * share) }
            admit()
        }
    }

    private fun admit() {
        while (running.size < settings.maxBatch) {
            val run = waiting.removeFirstOrNull() ?: return
            running += run
            begin(run)
        }
    }

    private fun begin(run: EngineRun) {
        val cached = run.programId?.let { cache.lookup(it, run.prompt) } ?: 0
        run.cachedTokens = cached.coerceIn(0, run.promptTokens - 1)
        run.prefilledTokens = run.cachedTokens.toDouble()
        listener.started(run)
    }

    private fun prefill(
        runs: List<EngineRun>,
        time: Duration,
    ) {
        var budget = time.toDouble(DurationUnit.SECONDS) * settings.prefillTokensPerSecond
        for (run in runs) {
            val tokens = minOf(budget, run.promptTokens - run.prefilledTokens)
            run.prefilledTokens += tokens
            budget -= tokens
        }
    }

    private fun decode(
        run: EngineRun,
        time: Duration,
    ) {
        run.decodedTokens += time / settings.decodeStep
        val tokens = minOf(run.decodedTokens.toInt(), run.answerTokens)
        if (tokens < run.answerTokens) {
            run.progress.value = RunProgress(tokens, null)
            return
        }
        running -= run
        keepPrefix(run, run.prompt + ChatRequest.promptLine(ANSWER_ROLE, run.answerText()))
        end(run, RunEnd.COMPLETE)
    }

    private fun keepPrefix(
        run: EngineRun,
        text: String,
    ) {
        run.programId?.let { cache.store(it, text) }
    }

    private fun end(
        run: EngineRun,
        end: RunEnd,
    ) {
        val tokens = if (end == RunEnd.COMPLETE) run.answerTokens else run.progress.value.tokens
        listener.ended(run, tokens, end)
        run.progress.value = RunProgress(tokens, end)
    }

    private fun prefilledCharacters(run: EngineRun): Int =
        (run.prompt.length * (run.prefilledTokens / run.promptTokens)).toInt()

    private companion object {
        const val WHOLE = 1.0
        const val HALF = 0.5
        const val ANSWER_ROLE = "assistant"
    }
}
