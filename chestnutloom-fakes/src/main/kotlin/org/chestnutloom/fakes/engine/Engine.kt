package org.chestnutloom.fakes.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.record.RequestLog
import org.chestnutloom.time.Clock
import java.util.concurrent.atomic.LongAdder
import kotlin.concurrent.Volatile

/** Runs requests in a [Batch] in real time, and holds the prefix cache, its events and the load report. */
internal class Engine(
    private val settings: EngineSettings,
    private val clock: Clock,
    private val log: RequestLog,
) : BatchListener {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val arrivals = Channel<Unit>(Channel.CONFLATED)
    private val requests = LongAdder()
    private val prefilledTokens = LongAdder()
    private val cachedTokens = LongAdder()
    private val generatedTokens = LongAdder()

    @Volatile
    private var publishedLoad = LoadView(0, 0, 0, settings.cacheTokens)

    val events = CacheEventFeed(clock, settings.eventDelay, settings.eventLossRatio, settings.seed)
    val cache = PrefixCache(settings.cacheTokens, events::add)
    val runs = RecentRuns()
    private val batch = Batch(settings, cache, this)

    fun start() {
        scope.launch { runBatch() }
        scope.launch { publishLoad() }
    }

    fun stop() {
        scope.cancel()
    }

    fun submit(run: EngineRun) {
        requests.increment()
        runs.add(run)
        batch.submit(run)
        arrivals.trySend(Unit)
    }

    fun cancel(run: EngineRun) {
        batch.cancel(run)
    }

    fun load(): LoadView = publishedLoad

    fun stats(): EngineStats =
        EngineStats(
            requests = requests.sum(),
            prefilledTokens = prefilledTokens.sum(),
            cachedTokens = cachedTokens.sum(),
            generatedTokens = generatedTokens.sum(),
            heldTokens = cache.heldTokens(),
        )

    override fun started(run: EngineRun) {
        cachedTokens.add(run.cachedTokens)
        prefilledTokens.add(run.promptTokens - run.cachedTokens)
        log.update(run.logNumber) { record, nowMs ->
            record.copy(startedAtMs = nowMs, promptTokens = run.promptTokens, cachedTokens = run.cachedTokens)
        }
        if (CRASH_MARKER in run.request.lastMessage) settings.crash.crash()
    }

    override fun ended(
        run: EngineRun,
        tokens: Int,
        outcome: RunOutcome,
    ) {
        generatedTokens.add(tokens.toLong())
        log.update(run.logNumber) { record, nowMs ->
            record.copy(
                endedAtMs = nowMs,
                completionTokens = tokens.toLong(),
                cancelled = outcome == RunOutcome.CANCELLED,
            )
        }
    }

    private suspend fun runBatch() {
        while (scope.isActive) {
            if (batch.isIdle) arrivals.receive()
            runUntilIdle()
        }
    }

    private suspend fun runUntilIdle() {
        var last = clock.elapsed()
        while (!batch.isIdle) {
            delay(settings.decodeStep)
            val now = clock.elapsed()
            batch.advance(now - last)
            last = now
        }
    }

    private suspend fun publishLoad() {
        while (scope.isActive) {
            val measured = LoadView(batch.runningCount, batch.waitingCount, cache.heldTokens(), settings.cacheTokens)
            delay(settings.loadLag)
            publishedLoad = measured
        }
    }

    private companion object {
        const val CRASH_MARKER = "CRASH-ENGINE"
    }
}
