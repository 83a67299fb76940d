package org.chestnutloom.edge.turn

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.id.CallId
import org.chestnutloom.id.GatewayRun
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.CopyTurn
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Holds turns that the store has not acknowledged yet; confined to the event loop.
 *
 * While the store is unavailable, several gateways hold each turn, so that it survives the failure of some of them. One
 * of them, the writer, writes it when the store recovers. When the writer fails, another replica becomes the writer and
 * restores the number of replicas.
 */
internal class UnsavedTurns(
    private val self: GatewayRun,
    private val rows: TurnRows,
    private val peers: TurnPeers,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val turns = LinkedHashMap<CallId, UnsavedTurn>()
    private var replicaBytes = 0L

    /** The number of turns held here. */
    val count: Int
        get() = turns.size

    /** The number of turns that this gateway has to write when the store recovers. */
    val pendingWriteCount: Int
        get() = turns.values.count { it.isWriteOverdue && it.writer == self }

    /** Returns the turn with this id if it is held here. */
    operator fun get(id: CallId): TurnRecord? = turns[id]?.record

    /** Writes or replicates [record] and returns whether it is durable beyond this process. */
    suspend fun save(
        record: TurnRecord,
        bytes: ByteArray,
    ): Boolean {
        val turn = UnsavedTurn(record, bytes, writer = self)
        turns[record.id] = turn
        try {
            return writeOrReplicate(turn)
        } catch (e: CancellationException) {
            // The response is aborted, so no later turn can continue this one.
            turns.remove(record.id)
            throw e
        }
    }

    private suspend fun writeOrReplicate(turn: UnsavedTurn): Boolean {
        repeat(MAX_ATTEMPTS) {
            val failure = write(turn).leftOrNull() ?: return true
            turn.isWriteOverdue = true
            replicate(turn)
            logger.warnEvent(
                "turn_not_saved",
                "turn" to turn.record.id,
                "cause" to failure,
                "copies" to turn.replicas.size,
            )
            if (turn.replicas.size >= requiredReplicas()) return true
            delay(RETRY_DELAY)
        }
        return turn.replicas.isNotEmpty()
    }

    /** Returns the number of replicas required before a response may complete. */
    private fun requiredReplicas(): Int = peers.reachablePeers().size.coerceIn(1, MIN_REPLICAS)

    /** Holds a replica of [record] for another gateway; returns whether there is room for it. */
    fun acceptReplica(
        record: TurnRecord,
        copy: CopyTurn,
    ): Boolean {
        val known = turns[record.id]
        // Both gateways may write the turn, since they write the same bytes.
        if (known != null && known.writer == self) return true
        if (known == null && replicaBytes + copy.record.size > MAX_REPLICA_BYTES) return false
        val turn = known ?: UnsavedTurn(record, copy.record, copy.writer).also { replicaBytes += copy.record.size }
        turns[record.id] = turn
        turn.writer = copy.writer
        turn.writerHeartbeat = copy.writerHeartbeat
        turn.writerUnreachableSince = null
        turn.replicas.clear()
        turn.replicas.addAll(copy.replicas - self)
        return true
    }

    /** Writes the turns held here to the store until cancelled. */
    suspend fun run() {
        while (scope.isActive) {
            delay(PASS_INTERVAL)
            runPass()
        }
    }

    private suspend fun runPass() {
        val (own, copies) = turns.values.partition { it.writer == self }
        copies.forEach(::checkWriter)
        val overdue = own.filter { it.isWriteOverdue }.take(MAX_WRITES_PER_PASS)
        coroutineScope { overdue.map { async { retry(it) } }.awaitAll() }
    }

    private fun checkWriter(copy: UnsavedTurn) {
        val progress = peers.writerProgress(copy.writer) ?: return onWriterUnreachable(copy)
        copy.writerUnreachableSince = null
        if (progress.heartbeatSequence > copy.writerHeartbeat && progress.turnsToWrite == 0) dropReplica(copy)
    }

    /**
     * Makes this gateway the writer of [copy] when its time to take over has come.
     *
     * The first reachable replica by name takes over immediately. Each further one waits another [TAKEOVER_INTERVAL],
     * because those before it may not hold the turn.
     */
    private fun onWriterUnreachable(copy: UnsavedTurn) {
        val unreachableSince = copy.writerUnreachableSince ?: clock.elapsed().also { copy.writerUnreachableSince = it }
        val precedingReplicas = copy.replicas.count { it.isBefore(self) && peers.writerProgress(it) != null }
        if (clock.elapsed() - unreachableSince < TAKEOVER_INTERVAL * precedingReplicas) return
        logger.event("turn_taken_over", "turn" to copy.record.id, "from" to copy.writer.gateway)
        replicaBytes -= copy.bytes.size
        copy.writer = self
        copy.isWriteOverdue = true
        // Replicates again, so that the replicas learn of the new writer.
        copy.replicas.clear()
    }

    private fun GatewayRun.isBefore(other: GatewayRun): Boolean = gateway.value < other.gateway.value

    private fun dropReplica(copy: UnsavedTurn) {
        turns.remove(copy.record.id)
        replicaBytes -= copy.bytes.size
        logger.event("turn_copy_dropped", "turn" to copy.record.id, "writer" to copy.writer.gateway)
    }

    private suspend fun retry(turn: UnsavedTurn) {
        write(turn).fold(
            { replicate(turn) },
            { logger.event("turn_saved_late", "turn" to turn.record.id, "unsaved" to count) },
        )
    }

    private suspend fun write(turn: UnsavedTurn): Either<StoreFailure, Unit> =
        rows.write(turn.record.id, turn.bytes).onRight { turns.remove(turn.record.id) }

    /** Restores the number of replicas of [turn]; returns once it has [MIN_REPLICAS] or all requests have ended. */
    private suspend fun replicate(turn: UnsavedTurn) {
        val reachable = peers.reachablePeers()
        turn.replicas.retainAll(reachable.toSet())
        val missing = (reachable - turn.replicas).take((REPLICATION_FACTOR - turn.replicas.size).coerceAtLeast(0))
        if (missing.isEmpty()) return
        val copy = CopyTurn(turn.bytes, self, peers.ownHeartbeatSequence, turn.replicas.toList() + missing)
        val hasMinReplicas = CompletableDeferred<Unit>()
        scope.launch {
            coroutineScope {
                missing.forEach { peer ->
                    launch {
                        if (peers.replicate(peer, copy)) turn.replicas += peer
                        if (turn.replicas.size >= MIN_REPLICAS) hasMinReplicas.complete(Unit)
                    }
                }
            }
            hasMinReplicas.complete(Unit)
        }
        hasMinReplicas.await()
    }

    private companion object {
        private const val MAX_ATTEMPTS = 4
        private val RETRY_DELAY = 150.milliseconds
        private val PASS_INTERVAL = 400.milliseconds

        /** The number of replicas of a turn. In a small fleet all gateways hold one, so that most of them may fail. */
        private const val REPLICATION_FACTOR = 5

        /** The replicas required to complete a response: one more than the VMs that usually fail at the same moment. */
        private const val MIN_REPLICAS = 2

        /** Limits the turns written in one pass, so that the store is not overloaded when it recovers. */
        private const val MAX_WRITES_PER_PASS = 64
        private const val MAX_REPLICA_BYTES = 16L * 1024 * 1024
        private val TAKEOVER_INTERVAL = 2.seconds
    }
}
