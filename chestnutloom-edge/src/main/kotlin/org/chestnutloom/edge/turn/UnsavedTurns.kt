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
 * Turns that the store has not acknowledged yet; used on the event loop only.
 *
 * While the store is away, several gateways keep each turn, so that it outlasts the loss of some of them. One of them,
 * the writer, writes it once the store is back. When the writer is lost, another keeper takes its part and has as
 * many gateways keep the turn as before.
 */
internal class UnsavedTurns(
    private val self: GatewayRun,
    private val rows: TurnRows,
    private val peers: TurnPeers,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val turns = LinkedHashMap<CallId, UnsavedTurn>()
    private var copiedBytes = 0L

    /** Turns that are kept here. */
    val count: Int
        get() = turns.size

    /** Turns that this gateway writes once the store is back. */
    val pendingWriteCount: Int
        get() = turns.values.count { it.isLate && it.writer == self }

    /** Returns the turn with this id if it is kept here. */
    operator fun get(id: CallId): TurnRecord? = turns[id]?.record

    /** Writes [record], or else has it kept elsewhere, and returns whether it will outlast this process. */
    suspend fun save(
        record: TurnRecord,
        bytes: ByteArray,
    ): Boolean {
        val turn = UnsavedTurn(record, bytes, writer = self)
        turns[record.id] = turn
        try {
            return writeOrCopy(turn)
        } catch (e: CancellationException) {
            // The answer breaks off, so that nothing can continue the turn.
            turns.remove(record.id)
            throw e
        }
    }

    private suspend fun writeOrCopy(turn: UnsavedTurn): Boolean {
        repeat(MAX_TRIES) {
            val failure = write(turn).leftOrNull() ?: return true
            turn.isLate = true
            replicate(turn)
            logger.warnEvent(
                "turn_not_saved",
                "turn" to turn.record.id,
                "cause" to failure,
                "copies" to turn.keepers.size,
            )
            if (turn.keepers.size >= enough()) return true
            delay(RETRY_PAUSE)
        }
        return turn.keepers.isNotEmpty()
    }

    /** Returns how many copies an answer has to have before it may end. */
    private fun enough(): Int = peers.reachablePeers().size.coerceIn(1, ENOUGH_COPIES)

    /** Keeps [record] for another gateway, and returns whether there is room for it. */
    fun keep(
        record: TurnRecord,
        copy: CopyTurn,
    ): Boolean {
        val known = turns[record.id]
        // Both may write it, since they write the same.
        if (known != null && known.writer == self) return true
        if (known == null && copiedBytes + copy.record.size > MAX_COPIED_BYTES) return false
        val turn = known ?: UnsavedTurn(record, copy.record, copy.writer).also { copiedBytes += copy.record.size }
        turns[record.id] = turn
        turn.writer = copy.writer
        turn.writerBeat = copy.writerBeat
        turn.writerLostAt = null
        turn.keepers.clear()
        turn.keepers.addAll(copy.keepers - self)
        return true
    }

    /** Sees to it until cancelled that what is kept here reaches the store. */
    suspend fun run() {
        while (scope.isActive) {
            delay(REVIEW_INTERVAL)
            review()
        }
    }

    private suspend fun review() {
        val (own, copies) = turns.values.partition { it.writer == self }
        copies.forEach(::review)
        val late = own.filter { it.isLate }.take(MAX_WRITES)
        coroutineScope { late.map { async { retry(it) } }.awaitAll() }
    }

    private fun review(copy: UnsavedTurn) {
        val progress = peers.writerProgress(copy.writer) ?: return writerLost(copy)
        copy.writerLostAt = null
        if (progress.beat > copy.writerBeat && progress.turnsToWrite == 0) forget(copy)
    }

    /** The first keeper by name takes over at once, the others one after the other in case it did not get its copy. */
    private fun writerLost(copy: UnsavedTurn) {
        val lostAt = copy.writerLostAt ?: clock.elapsed().also { copy.writerLostAt = it }
        val before = copy.keepers.count { it.isBefore(self) && peers.writerProgress(it) != null }
        if (clock.elapsed() - lostAt < STAND_IN_INTERVAL * before) return
        logger.event("turn_taken_over", "turn" to copy.record.id, "from" to copy.writer.gateway)
        copiedBytes -= copy.bytes.size
        copy.writer = self
        copy.isLate = true
        // Those that keep the turn have to hear who writes it now.
        copy.keepers.clear()
    }

    private fun GatewayRun.isBefore(other: GatewayRun): Boolean = gateway.value < other.gateway.value

    private fun forget(copy: UnsavedTurn) {
        turns.remove(copy.record.id)
        copiedBytes -= copy.bytes.size
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

    /** Has as many gateways keep [turn] as there should be, and returns once enough do for an answer to end. */
    private suspend fun replicate(turn: UnsavedTurn) {
        val heard = peers.reachablePeers()
        turn.keepers.retainAll(heard.toSet())
        val missing = (heard - turn.keepers).take((COPIES - turn.keepers.size).coerceAtLeast(0))
        if (missing.isEmpty()) return
        val copy = CopyTurn(turn.bytes, self, peers.ownHeartbeatSequence, turn.keepers.toList() + missing)
        val isEnough = CompletableDeferred<Unit>()
        scope.launch {
            coroutineScope {
                missing.forEach { keeper ->
                    launch {
                        if (peers.replicate(keeper, copy)) turn.keepers += keeper
                        if (turn.keepers.size >= ENOUGH_COPIES) isEnough.complete(Unit)
                    }
                }
            }
            isEnough.complete(Unit)
        }
        isEnough.await()
    }

    private companion object {
        private const val MAX_TRIES = 4
        private val RETRY_PAUSE = 150.milliseconds
        private val REVIEW_INTERVAL = 400.milliseconds

        /** Other gateways that keep a turn; in a small fleet all do, as nothing else outlasts the loss of most. */
        private const val COPIES = 5

        /** Copies with which an answer may end: one more than the VMs that are lost in one moment on ordinary days. */
        private const val ENOUGH_COPIES = 2

        /** Turns that are written in one review, so that the store is not overrun when it is back. */
        private const val MAX_WRITES = 64
        private const val MAX_COPIED_BYTES = 16L * 1024 * 1024
        private val STAND_IN_INTERVAL = 2.seconds
    }
}
