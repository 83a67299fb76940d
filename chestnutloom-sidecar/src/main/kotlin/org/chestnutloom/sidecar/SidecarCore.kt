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
import org.chestnutloom.sidecar.cache.EngineProgramCache
import org.chestnutloom.sidecar.cache.NoProgramCache
import org.chestnutloom.sidecar.cache.ProgramCache
import org.chestnutloom.sidecar.call.AnswerMemory
import org.chestnutloom.sidecar.call.CallLauncher
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.call.CallRegistry
import org.chestnutloom.sidecar.call.CallRunner
import org.chestnutloom.sidecar.call.CallService
import org.chestnutloom.sidecar.config.AppliedTargetSettings
import org.chestnutloom.sidecar.crash.CrashTracker
import org.chestnutloom.sidecar.dispatch.DispatchCheck
import org.chestnutloom.sidecar.dispatch.OwnerEpochs
import org.chestnutloom.sidecar.dispatch.PauseDetector
import org.chestnutloom.sidecar.dispatch.PeerFreshness
import org.chestnutloom.sidecar.dispatch.WithdrawnKeys
import org.chestnutloom.sidecar.load.LoadReporter
import org.chestnutloom.sidecar.order.OrderExecutor
import org.chestnutloom.sidecar.schedule.CallScheduler
import org.chestnutloom.sidecar.target.Target
import org.chestnutloom.sidecar.target.TargetMonitor
import org.chestnutloom.sidecar.trace.CallSpans
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The components of a sidecar, without the link server. */
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
    private val crashes = CrashTracker("${settings.target}/$incarnation", settings.mechanisms)
    private val reporter: LoadReporter = LoadReporter(settings.loadReportInterval, ::report)
    private val monitor = TargetMonitor(target, crashes, metrics, reporter::onChange)
    private val pauses = PauseDetector(clock, settings.mechanisms, settings.heartbeatInterval * RECOVERY_HEARTBEATS)
    private val targetSettings = AppliedTargetSettings(settings.target, documentDecoder(), settings.mechanisms)
    private val prefill = PrefillRateEstimator()
    private val freshness = PeerFreshness(clock, pauses)
    private val cache = cacheOf(engine, clock)
    private val withdrawnKeys = WithdrawnKeys(settings.mechanisms)
    private val ownerEpochs = OwnerEpochs(settings.mechanisms)
    private val callRegistry =
        CallRegistry(deduplicationTable<CallRecord>(clock, MAX_CALL_IDS), memory, clock, settings.mechanisms)
    private val runner = CallRunner(target, monitor, metrics, clock)
    private val dispatchCheck = DispatchCheck(settings, withdrawnKeys, freshness, ownerEpochs, pauses)
    private val spans = CallSpans(tracer, settings.target.value)
    private val launcher =
        CallLauncher(
            callRegistry,
            dispatchCheck,
            runner,
            crashes,
            cache,
            prefill,
            reporter,
            spans,
            metrics,
            clock,
            scope,
        )
    private val scheduler = CallScheduler(clock, queueFor(settings.queuePolicy), { maxRunning }, launcher)

    val calls =
        CallService(
            settings,
            callRegistry,
            scheduler,
            launcher,
            freshness,
            ownerEpochs,
            withdrawnKeys,
            cache,
            metrics,
            clock,
        )
    val handler = SidecarHandler(calls, freshness, reporter, targetSettings, OrderExecutor(engine))

    /** The value in the environment document overrides the one from the process settings. */
    private val maxRunning: Int
        get() = targetSettings.current?.maxRunning ?: settings.maxRunning

    init {
        metrics.registerGauges(scheduler::load, memory)
    }

    /** Checks whether the target is reachable. */
    suspend fun probeTarget() {
        monitor.probe()
    }

    /** Refuses queued calls that have timed out, and starts the calls that can run. */
    fun processQueue() {
        pauses.tick()
        calls.expireQueue()
        scheduler.dispatch()
    }

    /** Removes answers, call ids and peers whose retention time has passed. */
    fun expire() {
        callRegistry.expire(settings.answerRetention, settings.idRetention)
        freshness.expire(settings.programRetention)
    }

    /** Releases engine cache that no live program needs. */
    suspend fun sweepCache() {
        val running = callRegistry.running().mapNotNullTo(HashSet()) { it.request.program }
        cache.sweep(running, freshness.livePeers(settings.gatewaySilenceTimeout))
        reporter.onChange()
    }

    /**
     * Refuses new calls, and waits up to [timeout] for running calls to end and for their streams to be delivered.
     *
     * Returns whether all calls ended in time.
     */
    suspend fun drain(timeout: Duration): Boolean {
        calls.beginShutdown()
        reporter.onChange()
        val drained =
            withTimeoutOrNull(timeout) {
                pollUntil {
                    scheduler.load().runningCalls == 0 &&
                        calls.openStreams == 0
                }
            }
        withTimeoutOrNull(CONFIRMATION_TIMEOUT) { pollUntil { memory.used == 0L } }
        return drained != null
    }

    private suspend fun pollUntil(condition: () -> Boolean) {
        while (!condition()) delay(DRAIN_POLL_INTERVAL)
    }

    private fun cacheOf(
        engine: EngineClient?,
        clock: Clock,
    ): ProgramCache {
        if (engine == null) return NoProgramCache
        val retention = CacheRetention(settings.programRetention, settings.programIdleLimit)
        return EngineProgramCache(engine, retention, settings.mechanisms, metrics, clock)
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
        const val MAX_CALL_IDS = 100_000

        /** Number of heartbeat intervals after a pause during which heartbeats are ignored. */
        const val RECOVERY_HEARTBEATS = 2

        /** Maximum time to wait, after draining, for gateways to confirm that they stored the answers. */
        val CONFIRMATION_TIMEOUT = 3.seconds
        val DRAIN_POLL_INTERVAL = 20.milliseconds

        fun queueFor(policy: QueuePolicy) =
            when (policy) {
                QueuePolicy.FAIR -> fairQueue()
                QueuePolicy.FIFO -> fifoQueue()
            }
    }
}
