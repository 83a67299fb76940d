package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.codec.MalformedCbor
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayRun
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.message.CopyTurn

private val logger = KotlinLogging.logger {}

/**
 * Stores turns so that any gateway can continue them; confined to the event loop.
 *
 * A turn is written to the platform's store before its response completes. While the store is unavailable, other
 * gateways hold replicas of the turn until it is written.
 *
 * @param self the current incarnation of this gateway
 */
public class TurnStore(
    self: GatewayRun,
    private val rows: TurnRows,
    private val peers: TurnPeers,
    clock: Clock,
    scope: CoroutineScope,
) {
    private val codec = CborCodec(TurnRecord.serializer())
    private val recent = TurnCache(RECENT_BYTES)
    private val unsaved = UnsavedTurns(self, rows, peers, clock, scope)

    /** The number of turns held here that the store may not hold yet. */
    public val unsavedCount: Int
        get() = unsaved.count

    /** The number of turns that this gateway has to write when the store recovers. */
    public val pendingWriteCount: Int
        get() = unsaved.pendingWriteCount

    /** Writes the turns held here to the store until cancelled. */
    public suspend fun run(): Unit = unsaved.run()

    /** Loads the chain that ends with [last], which must belong to [account]. */
    public suspend fun chain(
        last: CallId,
        account: ClientAccountId?,
    ): Either<TurnFailure, TurnChain> =
        either {
            val newest = load(last).bind()
            if (newest.account != account) raise(TurnFailure.NotFound)
            val older = coroutineScope { newest.ancestors.map { async { load(it) } }.awaitAll() }
            TurnChain(older.map { loaded -> loaded.bind() } + newest)
        }

    /** Saves [record] and returns whether it is durable beyond this process. */
    public suspend fun save(record: TurnRecord): Boolean {
        recent.put(record)
        return unsaved.save(record, codec.encode(record))
    }

    /** Holds a replica for another gateway until the turn is written; returns whether there is room for it. */
    public fun acceptReplica(copy: CopyTurn): Either<MalformedCbor, Boolean> =
        codec.decode(copy.record).map { record ->
            recent.put(record)
            unsaved.acceptReplica(record, copy)
        }

    /** Returns the encoded turn if it is unsaved or in the cache, otherwise null. */
    public fun find(turn: CallId): ByteArray? = (unsaved[turn] ?: recent.get(turn))?.let(codec::encode)

    private suspend fun load(turn: CallId): Either<TurnFailure, TurnRecord> {
        recent.get(turn)?.let { return it.right() }
        unsaved[turn]?.let { return it.right() }
        val bytes = rows.read(turn).getOrElse { return searchWithoutStore(turn, it) }
        return decode(turn, bytes ?: return search(turn))
    }

    /**
     * Asks the other gateways for [turn], which one that recently served or continued it may have in its cache.
     *
     * A turn that none of them has may still be in the store.
     */
    private suspend fun searchWithoutStore(
        turn: CallId,
        cause: StoreFailure,
    ): Either<TurnFailure, TurnRecord> {
        val found = peers.find(turn) as? TurnSearch.Found ?: return TurnFailure.StoreUnavailable(cause).left()
        return decode(turn, found.record)
    }

    private suspend fun search(turn: CallId): Either<TurnFailure, TurnRecord> =
        when (val found = peers.find(turn)) {
            is TurnSearch.Found -> decode(turn, found.record)
            is TurnSearch.NotFound -> TurnFailure.NotFound.left()
            is TurnSearch.Inconclusive -> TurnFailure.GatewayUnavailable.left()
        }

    private fun decode(
        turn: CallId,
        bytes: ByteArray,
    ): Either<TurnFailure, TurnRecord> =
        codec
            .decode(bytes)
            .onLeft { logger.warnEvent("turn_malformed", "turn" to turn, "detail" to it.detail) }
            .onRight(recent::put)
            .mapLeft { TurnFailure.NotFound }

    private companion object {
        /** Holds the turns that callers continue within a few seconds at one gateway. */
        private const val RECENT_BYTES = 12L * 1024 * 1024
    }
}
