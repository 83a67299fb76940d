package org.chestnutloom.sidecar

import io.micrometer.core.instrument.MeterRegistry
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.cache.CacheRetention
import org.chestnutloom.common.engine.EngineClient
import org.chestnutloom.config.documentDecoder
import org.chestnutloom.dedup.deduplicationTable
import org.chestnutloom.id.Incarnation
import org.chestnutloom.queue.PrefillRateEstimator
import org.chestnutloom.queue.QueuePolicy
import org.chestnutloom.queue.fairQueue
import org.chestnutloom.queue.fifoQueue
import org.chestnutloom.sidecar.cache.CacheKeeper
import org.chestnutloom.sidecar.cache.NoProgramCache
import org.chestnutloom.sidecar.cache.ProgramCache
import org.chestnutloom.sidecar.call.AnswerMemory
import org.chestnutloom.sidecar.call.CallDesk
import org.chestnutloom.sidecar.call.CallLauncher
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.call.CallRunner
import org.chestnutloom.sidecar.call.CallService
import org.chestnutloom.sidecar.config.TargetTerms
import org.chestnutloom.sidecar.crash.CrashWatch
import org.chestnutloom.sidecar.gate.OwnerEpochs
import org.chestnutloom.sidecar.gate.PauseGuard
import org.chestnutloom.sidecar.gate.PeerProofs
import org.chestnutloom.sidecar.gate.StartGate
import org.chestnutloom.sidecar.gate.WithdrawnKeys
import org.chestnutloom.sidecar.load.LoadReporter
import org.chestnutloom.sidecar.order.OrderDesk
import org.chestnutloom.sidecar.schedule.CallScheduler
import org.chestnutloom.sidecar.target.Target
import org.chestnutloom.sidecar.target.TargetMonitor
import org.chestnutloom.sidecar.trace.CallSpans
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The parts of a sidecar, put together, without sockets of its own. */
internal class SidecarCore(
    private val settings: SidecarSettings,
    incarnation: Incarnation,
    target: Target,
    engine: EngineClient?,
    clock: Clock,
    registry: MeterRegistry,
    tracer: Tracer,
    scope: CoroutineScope,
) {
    private val metrics = SidecarMetrics(registry)
    private val memory = AnswerMemory()
    private val crashes = CrashWatch("${settings.target}/$incarnation", settings.mechanisms)
    private val reporter: LoadReporter = LoadReporter(settings.loadReportInterval, ::report)
    private val monitor = TargetMonitor(target, crashes, metrics, reporter::onChange)
    private val pauses = PauseGuard(clock, settings.mechanisms, settings.heartbeatInterval * HELD_BEATS)
    private val terms = TargetTerms(settings.target, documentDecoder(), settings.mechanisms)
    private val prefill = PrefillRateEstimator()
    private val proofs = PeerProofs(clock, pauses)
    private val cache = cacheOf(engine, clock)
    private val keys = WithdrawnKeys(settings.mechanisms)
    private val epochs = OwnerEpochs(settings.mechanisms)
    private val desk = CallDesk(deduplicationTable<CallRecord>(clock, MAX_IDS), memory, clock, settings.mechanisms)
    private val runner = CallRunner(target, monitor, metrics, clock)
    private val gate = StartGate(settings, keys, proofs, epochs, pauses)
    private val spans = CallSpans(tracer, settings.target.value)
    private val launcher =
        CallLauncher(desk, gate, runner, crashes, cache, prefill, reporter, spans, metrics, clock, scope)
    private val scheduler = CallScheduler(clock, queueFor(settings.queuePolicy), { maxRunning }, launcher)

    val calls = CallService(settings, desk, scheduler, launcher, proofs, epochs, keys, cache, metrics, clock)
    val handler = SidecarHandler(calls, proofs, reporter, terms, OrderDesk(engine))

    /** The document's number goes before the one that the process was started with. */
    private val maxRunning: Int
        get() = terms.current?.maxRunning ?: settings.maxRunning

    init {
        metrics.watch(scheduler::load, memory)
    }

    /** Finds out whether the target is reachable. */
    suspend fun probeTarget() {
        monitor.probe()
    }

    /** Refuses what waited too long, and starts what can start. */
    fun tick() {
        pauses.tick()
        calls.expireQueue()
        scheduler.dispatch()
    }

    /** Drops what was kept for long enough. */
    fun expire() {
        desk.expire(settings.answerRetention, settings.idRetention)
        proofs.expire(settings.programRetention)
    }

    /** Compares the engine's memory with the programs that may hold it. */
    suspend fun sweepCache() {
        val running = desk.running().mapNotNullTo(HashSet()) { it.request.program }
        cache.sweep(running, proofs.livePeers(settings.gatewaySilence))
        reporter.onChange()
    }

    /**
     * Takes no new calls, lets running ones end and hands over their answers, but not for longer than [timeout].
     *
     * Returns whether all calls ended in time.
     */
    suspend fun drain(timeout: Duration): Boolean {
        calls.beginStop()
        reporter.onChange()
        val drained =
            withTimeoutOrNull(timeout) {
                pollUntil {
                    scheduler.load().runningCalls == 0 &&
                        calls.openStreams == 0
                }
            }
        withTimeoutOrNull(HANDOVER_TIMEOUT) { pollUntil { memory.used == 0L } }
        return drained != null
    }

    private suspend fun pollUntil(condition: () -> Boolean) {
        while (!condition()) delay(DRAIN_POLL)
    }

    private fun cacheOf(
        engine: EngineClient?,
        clock: Clock,
    ): ProgramCache {
        if (engine == null) return NoProgramCache
        val retention = CacheRetention(settings.programRetention, settings.programIdleLimit)
        return CacheKeeper(engine, retention, settings.mechanisms, metrics, clock)
    }

    private fun report(): LoadReport {
        val load = scheduler.load()
        return LoadReport(
            queuedCalls = load.queuedCalls,
            queuedTokens = load.queuedTokens,
            runningCalls = load.runningCalls,
            maxRunningCalls = maxRunning,
            expectedWaitMs = load.expectedWait.inWholeMilliseconds,
            prefillTokensPerSecond = prefill.tokensPerSecond,
            models = settings.models,
            services = settings.services,
            cachedPrograms = cache.tokens,
            inFlightHashes = crashes.inFlightHashes,
            crashedHashes = crashes.crashedHashes,
            draining = calls.isStopping,
            targetReachable = monitor.isReachable,
        )
    }

    private companion object {
        const val MAX_IDS = 100_000

        /** Heartbeat intervals after a pause during which heartbeats do not count. */
        const val HELD_BEATS = 2

        /** How long a drained sidecar waits until gateways have called its answers durable. */
        val HANDOVER_TIMEOUT = 3.seconds
        val DRAIN_POLL = 20.milliseconds

        fun queueFor(policy: QueuePolicy) =
            when (policy) {
                QueuePolicy.FAIR -> fairQueue()
                QueuePolicy.FIFO -> fifoQueue()
            }
    }
}
