package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.StoreReachability
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Stores turns so that any gateway can continue them; confined to the event loop.
 *
 * A turn is durable once the platform's store has acknowledged it, and its response completes only then. The memory of
 * gateways does not count, since all of them may fail at the same moment. A turn that the store does not hold has
 * therefore never been completed.
 */
public class TurnStore(
    private val rows: TurnRows,
    private val peers: TurnPeers,
    private val reachability: StoreReachability,
    private val clock: Clock,
    private val memory: TurnMemory,
) {
    private val codec = CborCodec(TurnRecord.serializer())
    private val recent = TurnCache(RECENT_BYTES)
    private val reads = TurnReads(clock, ::read)
    private val sizes = TurnSizes()

    /** The number of turns whose responses wait for the store. */
    public var unsavedCount: Int = 0
        private set

    /** Whether a turn that starts now can be expected to become durable. */
    public val canSave: Boolean
        get() = reachability.isReachable()

    /** Loads the chain that ends with [last], which must belong to [account]. */
    public suspend fun chain(
        last: CallId,
        account: ClientAccountId?,
    ): Either<TurnFailure, TurnChain> =
        either {
            val newest = load(last, account).bind()
            if (newest.account != account) raise(TurnFailure.NotFound)
            val loader = ChainLoader(memory) { turn, expectedBytes -> load(turn, account, expectedBytes) }
            loader.load(newest).bind()
        }

    /** Returns the chain before the first turn of a program. */
    internal fun emptyChain(): TurnChain = TurnChain(emptyList(), memory)

    /**
     * Writes [record] to the store, and again after failures, and returns whether the store has acknowledged it.
     *
     * @param until the time on the monotonic clock at which to give up
     */
    public suspend fun save(
        record: TurnRecord,
        until: Duration,
    ): Boolean {
        val startedAt = clock.elapsed()
        unsavedCount++
        try {
            val failures = withTimeoutOrNull(until - startedAt) { writeUntilSaved(record) }
            if (failures == null) {
                logger.warnEvent("turn_not_saved", "turn" to record.id, "after_ms" to millisSince(startedAt))
                return false
            }
            if (failures > 0) {
                logger.event("turn_saved_late", "turn" to record.id, "after_ms" to millisSince(startedAt))
            }
            recent.put(record)
            return true
        } finally {
            unsavedCount--
        }
    }

    private fun millisSince(time: Duration): Long = (clock.elapsed() - time).inWholeMilliseconds

    /** Returns the number of failed writes before the store acknowledged the turn. */
    private suspend fun writeUntilSaved(record: TurnRecord): Int {
        val bytes = codec.encode(record)
        var failures = 0
        while (true) {
            val failure = rows.write(record.id, bytes).leftOrNull() ?: return failures
            if (failures++ == 0) logger.warnEvent("turn_write_failed", "turn" to record.id, "cause" to failure)
            delay(RETRY_DELAY)
        }
    }

    /** Returns the encoded turn if it is in the cache, otherwise null. */
    public fun find(turn: CallId): ByteArray? = recent.get(turn)?.let(codec::encode)

    /** Returns how many tokens [turn] generated, or null if it is not stored as a turn of [account] or cannot be read. */
    public suspend fun generatedTokens(
        turn: CallId,
        account: ClientAccountId?,
    ): Long? = load(turn, account).getOrNull()?.takeIf { it.account == account }?.generatedTokens

    /** Loads [turn] for a call of [account]. */
    private suspend fun load(
        turn: CallId,
        account: ClientAccountId?,
        expectedBytes: Int? = null,
    ): Either<TurnFailure, TurnRecord> {
        (recent.get(turn) ?: memory.find(turn))?.let { return it.right() }
        return reads
            .read(turn, expectedBytes ?: sizes.expectedBytes(account))
            .onRight { sizes.record(account, it.sizeBytes) }
    }

    private suspend fun read(turn: CallId): Either<TurnFailure, TurnRecord> {
        val bytes = rows.read(turn).getOrElse { return findAtPeers(turn, it) } ?: return TurnFailure.NotFound.left()
        return decode(turn, bytes)
    }

    /** Asks the other gateways for [turn], which one that recently served or continued it may have in its cache. */
    private suspend fun findAtPeers(
        turn: CallId,
        cause: StoreFailure,
    ): Either<TurnFailure, TurnRecord> {
        val bytes = peers.find(turn) ?: return TurnFailure.StoreUnavailable(cause).left()
        return decode(turn, bytes)
    }

    private fun decode(
        turn: CallId,
        bytes: ByteArray,
    ): Either<TurnFailure, TurnRecord> =
        codec
            .decode(bytes)
            .onLeft { logger.warnEvent("turn_malformed", "turn" to turn, "detail" to it.detail) }
            .onRight(recent::put)
            .mapLeft { TurnFailure.StoreUnavailable(StoreFailure.Malformed("the turn is malformed: ${it.detail}")) }

    private companion object {
        /** Holds the turns that callers continue within a few seconds at one gateway. */
        private const val RECENT_BYTES = 12L * 1024 * 1024

        private val RETRY_DELAY = 100.milliseconds
    }
}
