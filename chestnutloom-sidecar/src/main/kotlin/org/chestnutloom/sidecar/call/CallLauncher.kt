package org.chestnutloom.sidecar.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.quarantine.CrashVerdict
import org.chestnutloom.queue.PrefillRateEstimator
import org.chestnutloom.sidecar.SidecarMetrics
import org.chestnutloom.sidecar.cache.ProgramCache
import org.chestnutloom.sidecar.crash.CrashTracker
import org.chestnutloom.sidecar.dispatch.DispatchCheck
import org.chestnutloom.sidecar.load.LoadReporter
import org.chestnutloom.sidecar.schedule.CallEndListener
import org.chestnutloom.sidecar.schedule.CallStarter
import org.chestnutloom.sidecar.trace.CallSpans
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.LinkReply
import kotlin.time.Duration

/** Runs the calls that are taken from the queue, and records their outcomes. */
internal class CallLauncher(
    private val registry: CallRegistry,
    private val dispatchCheck: DispatchCheck,
    private val runner: CallRunner,
    private val crashes: CrashTracker,
    private val cache: ProgramCache,
    private val prefill: PrefillRateEstimator,
    private val reporter: LoadReporter,
    private val spans: CallSpans,
    private val metrics: SidecarMetrics,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : CallStarter {
    private val logger = KotlinLogging.logger {}

    override fun isSuspended(): Boolean = dispatchCheck.isSuspended()

    override fun mustRunAlone(record: CallRecord): Boolean =
        record.request.runAlone || crashes.verdictOf(record.request.bodyHash) == CrashVerdict.SUSPECT

    override fun start(
        record: CallRecord,
        onEnd: CallEndListener,
    ): Boolean {
        val refusal = refusalOf(record)
        if (refusal != null) {
            refuse(record, refusal)
            return false
        }
        if (!registry.start(record)) return false
        scope.launch { run(record, onEnd) }
        return true
    }

    /** Ends [record], which has not been started, with [refusal]. */
    fun refuse(
        record: CallRecord,
        refusal: Refusal,
    ) {
        metrics.recordRefusal(refusal)
        logRefusal(record, refusal)
        record.end(CallRefused(refusal))
        registry.refuse(record)
        reporter.onChange()
    }

    private fun refusalOf(record: CallRecord): Refusal? {
        val isQuarantined = crashes.verdictOf(record.request.bodyHash) == CrashVerdict.QUARANTINED
        return if (isQuarantined) Refusals.quarantined else dispatchCheck.refusalOf(record)
    }

    private suspend fun run(
        record: CallRecord,
        onEnd: CallEndListener,
    ) {
        val startedAt = clock.elapsed()
        val isAlone = mustRunAlone(record)
        val span = spans.start(record)
        val queuedMs = (startedAt - record.arrivedAt).inWholeMilliseconds
        record.markStarted(queuedMs)
        metrics.recordStart(queuedMs)
        crashes.onSent(record.request.bodyHash)
        reporter.sendNow(record.sender)
        val reply = runSafely(record, spans.traceParentOf(span))
        if (record.hasCrashed) reporter.sendNowToAll()
        crashes.onEnded(record.request.bodyHash, survivedAlone = isAlone && reply is CallEnded)
        record.end(reply)
        recordOutcome(record, reply)
        spans.end(span, reply)
        recordPrefill(record, reply, startedAt)
        val service = clock.elapsed() - startedAt
        onEnd.onEnd(usedTokens(record, reply), service.takeIf { reply is CallEnded })
        reporter.onChange()
    }

    private fun recordOutcome(
        record: CallRecord,
        reply: LinkReply,
    ) {
        if (reply is CallEnded) {
            metrics.recordService(reply.serviceMs)
            record.request.program?.let { cache.recordTokens(it, reply.usage.totalTokens) }
            registry.end(record, isRetryable = false)
            return
        }
        val refusal = (reply as CallRefused).refusal
        metrics.recordRefusal(refusal)
        logRefusal(record, refusal)
        if (refusal.execution == Execution.NOT_RUN) {
            registry.refuse(record)
        } else {
            registry.end(record, isRetryable = record.request.idempotent && refusal.code in retryableCodes)
        }
    }

    /** Turns unexpected exceptions into a refusal, so that the slot is freed and the senders receive a final reply. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun runSafely(
        record: CallRecord,
        traceParent: String?,
    ): LinkReply =
        try {
            runner.run(record, traceParent)
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            logger.warnEvent("call_failed", "call" to record.request.id, "cause" to e.toString())
            CallRefused(Refusals.internal)
        }

    private fun recordPrefill(
        record: CallRecord,
        reply: LinkReply,
        startedAt: Duration,
    ) {
        val usage = (reply as? CallEnded)?.usage ?: return
        val firstChunkAt = record.firstChunkAt ?: return
        prefill.record(usage.promptTokens - usage.cachedTokens, firstChunkAt - startedAt)
    }

    /** Returns the cost of the call for the queue; if no usage was reported, this is the number of prompt tokens. */
    private fun usedTokens(
        record: CallRecord,
        reply: LinkReply,
    ): Long {
        val used = (reply as? CallEnded)?.usage?.totalTokens ?: 0
        return if (used > 0) used else record.request.promptTokens.coerceAtLeast(1)
    }

    private fun logRefusal(
        record: CallRecord,
        refusal: Refusal,
    ) {
        logger.event(
            "call_refused",
            "call" to record.request.id,
            "code" to refusal.code.wireName,
            "execution" to refusal.execution.name.lowercase(),
            "waited_ms" to (clock.elapsed() - record.arrivedAt).inWholeMilliseconds,
        )
    }

    private companion object {
        val retryableCodes = setOf(RefusalCode.TARGET_LOST, RefusalCode.TARGET_ERROR)
    }
}
