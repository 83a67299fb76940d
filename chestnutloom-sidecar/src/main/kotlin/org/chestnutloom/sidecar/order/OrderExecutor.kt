package org.chestnutloom.sidecar.order

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.common.engine.EngineClient
import org.chestnutloom.common.engine.EngineFailure
import org.chestnutloom.common.engine.EngineOrder
import org.chestnutloom.common.engine.EngineOrderKind
import org.chestnutloom.common.log.event
import org.chestnutloom.wire.message.CallRefused
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.OrderFenced
import org.chestnutloom.wire.message.OrderTarget
import org.chestnutloom.wire.message.TargetOrderKind

/**
 * Sends orders to the engine one at a time, and rejects orders whose fencing token is lower than the highest one seen.
 *
 * This protects engines that ignore fencing tokens, as long as orders reach them only through their sidecar.
 */
internal class OrderExecutor(
    private val engine: EngineClient?,
) {
    private val logger = KotlinLogging.logger {}
    private val mutex = Mutex()
    private var newestFencing = 0L

    suspend fun execute(request: OrderTarget): LinkReply {
        val reply = mutex.withLock { executeInOrder(request) }
        logger.event(
            "target_order",
            "kind" to request.kind.name.lowercase(),
            "fencing" to request.fencing,
            "reply" to reply::class.simpleName,
        )
        return reply
    }

    private suspend fun executeInOrder(request: OrderTarget): LinkReply {
        if (engine == null) return CallRefused(noEngine)
        if (request.fencing < newestFencing) return OrderFenced(newestFencing)
        newestFencing = request.fencing
        val order = EngineOrder(request.fencing, kindOf(request.kind), request.argument)
        return engine.order(order).fold({ replyTo(it) }, { Done })
    }

    private fun replyTo(failure: EngineFailure): LinkReply =
        when (failure) {
            is EngineFailure.Fenced -> fencedBy(failure)
            is EngineFailure.Unreachable -> CallRefused(unreachable)
            is EngineFailure.Rejected -> CallRefused(rejected)
            is EngineFailure.NoResponse, is EngineFailure.Malformed, EngineFailure.NotFound -> CallRefused(unknown)
        }

    private fun fencedBy(failure: EngineFailure.Fenced): LinkReply {
        newestFencing = maxOf(newestFencing, failure.fencing)
        return OrderFenced(newestFencing)
    }

    private companion object {
        val noEngine = Refusal(RefusalCode.BAD_REQUEST, Execution.NOT_RUN, "The target does not support orders.")
        val unreachable = Refusal(RefusalCode.NO_TARGET, Execution.NOT_RUN, "The engine is unreachable.")
        val rejected = Refusal(RefusalCode.TARGET_ERROR, Execution.RAN, "The engine rejected the order.")
        val unknown = Refusal(RefusalCode.TARGET_LOST, Execution.UNKNOWN, "The engine did not confirm the order.")

        fun kindOf(kind: TargetOrderKind): EngineOrderKind =
            when (kind) {
                TargetOrderKind.LOAD_MODEL -> EngineOrderKind.LOAD_MODEL
                TargetOrderKind.LOAD_ADAPTER -> EngineOrderKind.LOAD_ADAPTER
                TargetOrderKind.SET_ROLE -> EngineOrderKind.SET_ROLE
            }
    }
}
