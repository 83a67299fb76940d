package org.chestnutloom.sidecar.call

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.onCompletion
import kotlinx.coroutines.flow.onStart
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.common.log.event
import org.chestnutloom.dedup.RunState
import org.chestnutloom.id.CallId
import org.chestnutloom.id.KeyId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.sidecar.SidecarMetrics
import org.chestnutloom.sidecar.SidecarSettings
import org.chestnutloom.sidecar.cache.ProgramCache
import org.chestnutloom.sidecar.dispatch.OwnerEpochs
import org.chestnutloom.sidecar.dispatch.PeerFreshness
import org.chestnutloom.sidecar.dispatch.WithdrawnKeys
import org.chestnutloom.sidecar.schedule.CallScheduler
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CallStatus
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.QueryCall
import org.chestnutloom.wire.message.RunCall
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Accepts, queries and cancels calls. */
internal class CallService(
    private val settings: SidecarSettings,
    private val registry: CallRegistry,
    private val scheduler: CallScheduler,
    private val launcher: CallLauncher,
    private val freshness: PeerFreshness,
    private val ownerEpochs: OwnerEpochs,
    private val withdrawnKeys: WithdrawnKeys,
    private val cache: ProgramCache,
    private val metrics: SidecarMetrics,
    private val clock: Clock,
) {
    private val logger = KotlinLogging.logger {}
    private val streamCount = AtomicInteger()

    /** Whether new calls are refused because a graceful shutdown has begun. */
    @Volatile
    var isStopping: Boolean = false
        private set

    /** Number of reply streams that have not completed. */
    val openStreams: Int
        get() = streamCount.get()

    /** Runs a call, or attaches to its existing run, and returns its replies. */
    suspend fun run(
        sender: PeerIdentity,
        request: RunCall,
    ): Flow<LinkReply> {
        val call = request.call
        if (!ownerEpochs.admits(call.program, call.ownerEpoch)) return refused(olderOwnerRefusal(call.id))
        if (isStopping && !registry.mayHaveRun(call.id)) return refused(Refusals.stopping)
        freshness.awaitFirstHeartbeat(sender, settings.gatewaySilenceTimeout)
        return registry.admit(sender, call).fold(::refused) { openReplies(it, request.fromChunk) }
    }

    /** Resumes the replies of a call and makes [sender] its current sender. */
    fun attach(
        sender: PeerIdentity,
        request: AttachCall,
    ): Flow<LinkReply> {
        val record = registry.find(request.id) ?: return flowOf(query(QueryCall(request.id, fence = false)))
        record.sender = sender
        record.request.program?.let { cache.touch(it, sender) }
        return countWhileOpen(record.replies(request.fromChunk))
    }

    /** Returns the status of a call. */
    fun query(request: QueryCall): CallStatus {
        val status = registry.fence(request.id, request.fence)
        if (status.state == RunState.NOT_RUN) {
            status.value?.let { refuseQueued(it, Refusals.fenced) }
            logger.event("call_fenced", "call" to request.id)
        }
        return CallRegistry.statusReply(status)
    }

    /** Cancels a call, unless it is running and non-idempotent. */
    fun cancel(id: CallId): CallStatus {
        val status = registry.fence(id, includeQueued = true)
        val record = status.value
        if (status.state == RunState.NOT_RUN) record?.let { refuseQueued(it, Refusals.cancelledInQueue) }
        if (status.state == RunState.RUNNING && record != null) cancelIfIdempotent(record, Refusals.cancelled)
        return CallRegistry.statusReply(status)
    }

    fun forget(ids: List<CallId>) = registry.forget(ids)

    /** Cancels the calls of withdrawn keys. */
    fun withdraw(withdrawn: List<KeyId>) {
        val added = withdrawnKeys.add(withdrawn)
        if (added.isEmpty()) return
        logger.event("keys_withdrawn", "keys" to added.joinToString(","))
        scheduler
            .removeAll { withdrawnKeys.blocks(it.request.key) }
            .forEach { launcher.refuse(it, Refusals.keyWithdrawn) }
        registry
            .running()
            .filter { withdrawnKeys.blocks(it.request.key) }
            .forEach { cancelIfIdempotent(it, Refusals.keyWithdrawnWhileRunning) }
    }

    /** Cancels the calls of [program], which has ended, and releases its cache. */
    suspend fun endProgram(program: ProgramId) {
        scheduler
            .removeAll { it.request.program == program }
            .forEach { launcher.refuse(it, Refusals.cancelledInQueue) }
        registry
            .running()
            .filter { it.request.program == program }
            .forEach { cancelIfIdempotent(it, Refusals.cancelled) }
        cache.end(program)
    }

    /** Refuses the queued calls whose queue timeout has passed. */
    fun expireQueue() {
        val now = clock.elapsed()
        scheduler
            .removeAll { it.arrivedAt + it.request.queueTimeoutMs.milliseconds <= now }
            .forEach { launcher.refuse(it, Refusals.queueTimeout) }
    }

    /** Refuses new and queued calls from now on. */
    fun beginShutdown() {
        isStopping = true
        scheduler.removeAll { true }.forEach { launcher.refuse(it, Refusals.stopping) }
    }

    private fun openReplies(
        admission: Admission,
        fromChunk: Int,
    ): Flow<LinkReply> {
        val record = admission.record
        record.request.program?.let { cache.touch(it, record.sender) }
        if (admission.isNew) scheduler.submit(record)?.let { launcher.refuse(record, it) }
        return countWhileOpen(record.replies(fromChunk))
    }

    private fun countWhileOpen(replies: Flow<LinkReply>): Flow<LinkReply> =
        replies
            .onStart { streamCount.incrementAndGet() }
            .onCompletion { streamCount.decrementAndGet() }

    private fun olderOwnerRefusal(id: CallId): Refusal =
        if (registry.mayHaveRun(id)) Refusals.olderOwner.copy(execution = Execution.UNKNOWN) else Refusals.olderOwner

    private fun refuseQueued(
        record: CallRecord,
        refusal: Refusal,
    ) {
        scheduler.remove(record.request.id)
        launcher.refuse(record, refusal)
        scheduler.dispatch()
    }

    private fun cancelIfIdempotent(
        record: CallRecord,
        reason: Refusal,
    ) {
        if (record.request.idempotent) record.requestCancellation(reason)
    }

    private fun refused(refusal: Refusal): Flow<LinkReply> {
        metrics.recordRefusal(refusal)
        return flowOf(CallRefused(refusal))
    }
}
