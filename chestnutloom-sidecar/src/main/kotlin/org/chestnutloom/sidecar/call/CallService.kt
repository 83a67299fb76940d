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
import org.chestnutloom.sidecar.gate.OwnerEpochs
import org.chestnutloom.sidecar.gate.PeerProofs
import org.chestnutloom.sidecar.gate.WithdrawnKeys
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

/** Takes in calls, and answers questions about them. */
internal class CallService(
    private val settings: SidecarSettings,
    private val desk: CallDesk,
    private val scheduler: CallScheduler,
    private val launcher: CallLauncher,
    private val proofs: PeerProofs,
    private val epochs: OwnerEpochs,
    private val keys: WithdrawnKeys,
    private val cache: ProgramCache,
    private val metrics: SidecarMetrics,
    private val clock: Clock,
) {
    private val logger = KotlinLogging.logger {}
    private val streams = AtomicInteger()

    /** Whether new calls are refused because a planned stop has begun. */
    @Volatile
    var isStopping: Boolean = false
        private set

    /** Number of streams of replies that are not at their end. */
    val openStreams: Int
        get() = streams.get()

    /** Runs a call, or goes on with the run that there is, and returns its replies. */
    suspend fun run(
        sender: PeerIdentity,
        request: RunCall,
    ): Flow<LinkReply> {
        val call = request.call
        if (!epochs.admits(call.program, call.ownerEpoch)) return refused(olderOwner(call.id))
        if (isStopping && !desk.mayHaveRun(call.id)) return refused(Refusals.stopping)
        proofs.awaitFirst(sender, settings.gatewaySilence)
        return desk.admit(sender, call).fold(::refused) { open(it, request.fromChunk) }
    }

    /** Goes on with the replies of a call, which [sender] takes over. */
    fun attach(
        sender: PeerIdentity,
        request: AttachCall,
    ): Flow<LinkReply> {
        val record = desk.find(request.id) ?: return flowOf(query(QueryCall(request.id, fence = false)))
        record.sender = sender
        record.request.program?.let { cache.mention(it, sender) }
        return counted(record.replies(request.fromChunk))
    }

    /** Reports what became of a call. */
    fun query(request: QueryCall): CallStatus {
        val status = desk.fence(request.id, request.fence)
        if (status.state == RunState.NOT_RUN) {
            status.value?.let { withdrawQueued(it, Refusals.fenced) }
            logger.event("call_fenced", "call" to request.id)
        }
        return CallDesk.statusReply(status)
    }

    /** Stops a call unless it runs and is non-idempotent. */
    fun cancel(id: CallId): CallStatus {
        val status = desk.fence(id, includeQueued = true)
        val record = status.value
        if (status.state == RunState.NOT_RUN) record?.let { withdrawQueued(it, Refusals.cancelledInQueue) }
        if (status.state == RunState.RUNNING && record != null) stop(record, Refusals.cancelled)
        return CallDesk.statusReply(status)
    }

    fun forget(ids: List<CallId>) = desk.forget(ids)

    /** Stops the calls of keys that were withdrawn. */
    fun withdraw(withdrawn: List<KeyId>) {
        val added = keys.add(withdrawn)
        if (added.isEmpty()) return
        logger.event("keys_withdrawn", "keys" to added.joinToString(","))
        scheduler.removeAll { keys.blocks(it.request.key) }.forEach { launcher.refuse(it, Refusals.keyWithdrawn) }
        desk.running().filter { keys.blocks(it.request.key) }.forEach { stop(it, Refusals.keyWithdrawnInRun) }
    }

    /** Stops the calls of [program], which is gone, and frees its memory. */
    suspend fun endProgram(program: ProgramId) {
        scheduler
            .removeAll { it.request.program == program }
            .forEach { launcher.refuse(it, Refusals.cancelledInQueue) }
        desk.running().filter { it.request.program == program }.forEach { stop(it, Refusals.cancelled) }
        cache.end(program)
    }

    /** Refuses the queued calls that have waited too long. */
    fun expireQueue() {
        val now = clock.elapsed()
        scheduler
            .removeAll { it.arrivedAt + it.request.queueTimeoutMs.milliseconds <= now }
            .forEach { launcher.refuse(it, Refusals.queueTimeout) }
    }

    /** Takes no new calls from now on, and refuses those that wait. */
    fun beginStop() {
        isStopping = true
        scheduler.removeAll { true }.forEach { launcher.refuse(it, Refusals.stopping) }
    }

    private fun open(
        admission: Admission,
        fromChunk: Int,
    ): Flow<LinkReply> {
        val record = admission.record
        record.request.program?.let { cache.mention(it, record.sender) }
        if (admission.isNew) scheduler.submit(record)?.let { launcher.refuse(record, it) }
        return counted(record.replies(fromChunk))
    }

    private fun counted(replies: Flow<LinkReply>): Flow<LinkReply> =
        replies
            .onStart { streams.incrementAndGet() }
            .onCompletion { streams.decrementAndGet() }

    private fun olderOwner(id: CallId): Refusal =
        if (desk.mayHaveRun(id)) Refusals.olderOwner.copy(execution = Execution.UNKNOWN) else Refusals.olderOwner

    private fun withdrawQueued(
        record: CallRecord,
        refusal: Refusal,
    ) {
        scheduler.remove(record.request.id)
        launcher.refuse(record, refusal)
        scheduler.dispatch()
    }

    private fun stop(
        record: CallRecord,
        reason: Refusal,
    ) {
        if (record.request.idempotent) record.stop(reason)
    }

    private fun refused(refusal: Refusal): Flow<LinkReply> {
        metrics.recordRefusal(refusal)
        return flowOf(CallRefused(refusal))
    }
}
