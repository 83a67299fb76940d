package org.chestnutloom.sidecar

import io.micrometer.core.instrument.MeterRegistry
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CoroutineScope
import org.chestnutloom.id.Incarnation
import org.chestnutloom.once.duplicateTable
import org.chestnutloom.queue.QueuePolicy
import org.chestnutloom.queue.fairQueue
import org.chestnutloom.queue.fifoQueue
import org.chestnutloom.sidecar.call.AnswerMemory
import org.chestnutloom.sidecar.call.CallDesk
import org.chestnutloom.sidecar.call.CallLauncher
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.call.CallRunner
import org.chestnutloom.sidecar.call.CallService
import org.chestnutloom.sidecar.crash.CrashWatch
import org.chestnutloom.sidecar.gate.OwnerEpochs
import org.chestnutloom.sidecar.gate.PeerProofs
import org.chestnutloom.sidecar.gate.StartGate
import org.chestnutloom.sidecar.gate.WithdrawnKeys
import org.chestnutloom.sidecar.load.LoadReporter
import org.chestnutloom.sidecar.schedule.CallScheduler
import org.chestnutloom.sidecar.target.Target
import org.chestnutloom.sidecar.target.TargetMonitor
import org.chestnutloom.sidecar.trace.CallSpans
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.LoadReport

/** The parts of a sidecar, put together, without sockets of its own. */
internal class SidecarCore(
    private val settings: SidecarSettings,
    incarnation: Incarnation,
    target: Target,
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
    private val proofs = PeerProofs(clock)
    private val keys = WithdrawnKeys(settings.mechanisms)
    private val epochs = OwnerEpochs(settings.mechanisms)
    private val desk = CallDesk(duplicateTable<CallRecord>(clock, MAX_IDS), memory, clock, settings.mechanisms)
    private val runner = CallRunner(target, monitor, metrics, clock)
    private val gate = StartGate(settings, keys, proofs, epochs)
    private val spans = CallSpans(tracer, settings.target.value)
    private val launcher = CallLauncher(desk, gate, runner, crashes, reporter, spans, metrics, clock, scope)
    private val scheduler = CallScheduler(clock, queueFor(settings.queuePolicy), settings.maxRunning, launcher)

    val calls = CallService(settings, desk, scheduler, launcher, proofs, epochs, keys, metrics, clock)
    val handler = SidecarHandler(calls, proofs, reporter)

    init {
        metrics.watch(scheduler::load, memory)
    }

    /** Finds out whether the target is reachable. */
    suspend fun probeTarget() {
        monitor.probe()
    }

    private fun report(): LoadReport {
        val load = scheduler.load()
        return LoadReport(
            queuedCalls = load.queuedCalls,
            queuedTokens = load.queuedTokens,
            runningCalls = load.runningCalls,
            maxRunningCalls = settings.maxRunning,
            expectedWaitMs = load.expectedWait.inWholeMilliseconds,
            prefillTokensPerSecond = 0.0,
            models = settings.models,
            services = settings.services,
            cachedPrograms = emptyMap(),
            inFlightHashes = crashes.inFlightHashes,
            crashedHashes = crashes.crashedHashes,
            draining = calls.isStopping,
            targetReachable = monitor.isReachable,
        )
    }

    private companion object {
        const val MAX_IDS = 100_000

        fun queueFor(policy: QueuePolicy) =
            when (policy) {
                QueuePolicy.FAIR -> fairQueue()
                QueuePolicy.FIFO -> fifoQueue()
            }
    }
}
