package org.chestnutloom.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.call.Usage
import org.chestnutloom.id.CallId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.id.ModelName
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.LinkException
import org.chestnutloom.wire.link.LinkFailure
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.PeerIdentity
import org.chestnutloom.wire.link.PeerLink
import org.chestnutloom.wire.link.PeerRole
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.CallRequest
import org.chestnutloom.wire.message.CallState
import org.chestnutloom.wire.message.CallStatus
import org.chestnutloom.wire.message.CancelCall
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.LoadReport
import org.chestnutloom.wire.message.QueryCall
import org.chestnutloom.wire.message.RunCall
import org.chestnutloom.wire.message.WatchLoad
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** A link to a sidecar that runs each call id at most once, with configurable faults. */
internal class FakeSidecar(
    private val id: String,
) : PeerLink {
    /** The calls that were executed at the target. */
    val effects = CopyOnWriteArrayList<CallRequest>()
    val requests = CopyOnWriteArrayList<LinkRequest>()
    val answers = ConcurrentHashMap<CallId, CallEnded>()
    private val refused = ConcurrentHashMap.newKeySet<CallId>()

    @Volatile
    var incarnation = "i1"

    /** How many of the next calls lose their link before the call reaches the target. */
    @Volatile
    var linkLossesBeforeRun = 0

    /** How many of the next calls lose their link after the call ran. */
    @Volatile
    var linkLossesAfterRun = 0

    /** The number of chunks after which the next stream loses its link, or null. */
    @Volatile
    var linkLossAfterChunks: Int? = null

    /** The refusal returned for all calls, or null. */
    @Volatile
    var refusal: Refusal? = null

    @Volatile
    var unreachable = false

    /** Blocks calls at the target until it is completed, or null. */
    @Volatile
    var gate: CompletableDeferred<Unit>? = null

    override val address = PeerAddress("127.0.0.1", 1)
    override val peer: PeerIdentity
        get() = PeerIdentity(id, Incarnation(incarnation), PeerRole.SIDECAR)
    override val lastHeartbeat: Heartbeat? = null

    override fun request(request: LinkRequest): Flow<LinkReply> =
        flow {
            if (unreachable) throw LinkException(LinkFailure.Refused(address))
            requests += request
            when (request) {
                is WatchLoad -> watch()
                is RunCall -> run(request.call)
                is AttachCall -> answer(request.id, request.fromChunk)
                is QueryCall -> emit(query(request.id))
                is CancelCall -> cancel(request.id)
                else -> emit(Done)
            }
        }

    override suspend fun close() = Unit

    private suspend fun FlowCollector<LinkReply>.watch() {
        val isEngine = id.startsWith("engine")
        val models = if (isEngine) listOf(ModelName("m1")) else emptyList()
        val services = if (isEngine) emptyList() else listOf("pay")
        emit(LoadReport(0, 0, 0, 4, 0, 0.0, models, services, emptyMap(), emptyList(), emptyList(), false, true))
        awaitCancellation()
    }

    private suspend fun FlowCollector<LinkReply>.run(call: CallRequest) {
        if (linkLossesBeforeRun > 0) {
            linkLossesBeforeRun--
            throw lost()
        }
        refusal?.let { return emit(CallRefused(it)) }
        if (call.id in refused) return emit(CallRefused(cancelled()))
        if (!answers.containsKey(call.id)) {
            effects += call
            gate?.await()
            if (call.id in refused) return emit(CallRefused(cancelled()))
            answers[call.id] = answerTo(call)
        }
        if (linkLossesAfterRun > 0) {
            linkLossesAfterRun--
            throw lost()
        }
        answer(call.id, 0)
    }

    private suspend fun FlowCollector<LinkReply>.answer(
        id: CallId,
        fromChunk: Int,
    ) {
        val ended = answers[id] ?: return emit(query(id))
        for (index in fromChunk until ended.chunks) {
            if (index == linkLossAfterChunks) {
                linkLossAfterChunks = null
                throw lost()
            }
            emit(CallChunk(index, "{\"word\":$index,\"of\":\"${ended.body.hashCode()}\"}"))
        }
        emit(ended)
    }

    private fun query(id: CallId): CallStatus {
        val ended = answers[id]
        if (ended != null) return CallStatus(CallState.ENDED, ended)
        if (effects.any { it.id == id }) return CallStatus(CallState.RUNNING)
        refused += id
        return CallStatus(CallState.NOT_RUN)
    }

    private suspend fun FlowCollector<LinkReply>.cancel(id: CallId) {
        val call = effects.find { it.id == id }
        if (call == null || call.idempotent) refused += id
        if (call?.idempotent == true) gate?.complete(Unit)
        emit(CallStatus(CallState.RUNNING))
    }

    private fun answerTo(call: CallRequest): CallEnded {
        val chunks = if (call.stream) CHUNKS else 0
        val body = "{\"echo\":${call.body.ifEmpty { "null" }},\"effect\":${effects.size}}"
        val usage = if (call.kind == CallKind.MODEL) Usage(20, 0, 10) else Usage()
        return CallEnded(200, "application/json", body, chunks, usage, 5)
    }

    private fun lost() = LinkException(LinkFailure.Lost(address, "connection aborted"))

    private fun cancelled() = Refusal(RefusalCode.CANCELLED, Execution.NOT_RUN, "The call was cancelled.")

    companion object {
        const val CHUNKS = 4
    }
}
