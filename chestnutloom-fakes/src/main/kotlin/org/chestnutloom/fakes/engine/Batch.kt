package org.chestnutloom.fakes.engine

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The running and waiting requests of one engine; waiting requests are admitted in order of arrival.
 *
 * The oldest requests are prefilled first. While some requests are in prefill and others decode, each phase gets half
 * of the time.
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
            if (wasRunning) storePrefix(run, run.prompt.take(prefilledCharacters(run)))
            end(run, RunOutcome.CANCELLED)
            admit()
        }
    }

    /** Advances prefill and decoding by [elapsed] of engine time. */
    fun advance(elapsed: Duration) {
        synchronized(lock) {
            val prefilling = running.filterNot(EngineRun::isPrefilled)
            val decoding = running.filter(EngineRun::isPrefilled)
            val share = if (prefilling.isEmpty() || decoding.isEmpty()) FULL_SHARE else HALF_SHARE
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
        val tokens = minOf(run.decodedTokens.toInt(), run.completionTokens)
        if (tokens < run.completionTokens) {
            run.progress.value = RunProgress(tokens, null)
            return
        }
        running -= run
        storePrefix(run, run.prompt + ChatRequest.promptLine(ASSISTANT_ROLE, run.completionText()))
        end(run, RunOutcome.COMPLETE)
    }

    private fun storePrefix(
        run: EngineRun,
        text: String,
    ) {
        run.programId?.let { cache.store(it, text) }
    }

    private fun end(
        run: EngineRun,
        outcome: RunOutcome,
    ) {
        val tokens = if (outcome == RunOutcome.COMPLETE) run.completionTokens else run.progress.value.tokens
        listener.ended(run, tokens, outcome)
        run.progress.value = RunProgress(tokens, outcome)
    }

    private fun prefilledCharacters(run: EngineRun): Int =
        (run.prompt.length * (run.prefilledTokens / run.promptTokens)).toInt()

    private companion object {
        const val FULL_SHARE = 1.0
        const val HALF_SHARE = 0.5
        const val ASSISTANT_ROLE = "assistant"
    }
}
