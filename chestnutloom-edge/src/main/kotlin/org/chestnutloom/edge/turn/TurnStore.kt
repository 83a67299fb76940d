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
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.codec.MalformedCbor
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.platform.log.event
import org.chestnutloom.platform.log.warnEvent
import org.chestnutloom.store.StoreFailure
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Keeps turns so that any gateway can continue them; used on the event loop only.
 *
 * A turn is written to the platform's store before its answer ends. While the store is away, it is copied to another
 * gateway instead, and both write it once the store is back.
 */
public class TurnStore(
    private val rows: TurnRows,
    private val peers: TurnPeers,
    private val scope: CoroutineScope,
) {
    private val codec = CborCodec(TurnRecord.serializer())
    private val recent = TurnCache(RECENT_BYTES)
    private val unsaved = LinkedHashMap<CallId, TurnRecord>()

    /** Turns kept here that the store does not hold yet. */
    public val unsavedCount: Int
        get() = unsaved.size

    /** Returns the chain that ends with [last], which has to belong to [account]. */
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

    /** Keeps [record], and returns whether it will outlast this process. */
    public suspend fun save(record: TurnRecord): Boolean {
        recent.put(record)
        unsaved[record.id] = record
        val bytes = codec.encode(record)
        repeat(MAX_TRIES) {
            val failure = write(record.id, bytes).swap().getOrNull() ?: return true
            val isCopied = peers.copy(bytes)
            logger.warnEvent("turn_not_saved", "turn" to record.id, "cause" to failure, "is_copied" to isCopied)
            if (isCopied) return true.also { keepTrying(record.id, bytes) }
            delay(RETRY_PAUSE)
        }
        keepTrying(record.id, bytes)
        return false
    }

    /** Keeps a turn for another gateway, and writes it once the store is back. */
    public fun keepCopy(bytes: ByteArray): Either<MalformedCbor, Unit> =
        codec.decode(bytes).map { record ->
            recent.put(record)
            unsaved[record.id] = record
            keepTrying(record.id, bytes)
        }

    /** Returns a turn that is kept here and that the store may not hold, encoded, or null. */
    public fun find(turn: CallId): ByteArray? = (unsaved[turn] ?: recent.get(turn))?.let(codec::encode)

    private fun keepTrying(
        turn: CallId,
        bytes: ByteArray,
    ) {
        scope.launch {
            while (turn in unsaved) {
                delay(BACKGROUND_PAUSE)
                write(
                    turn,
                    bytes,
                ).onRight { logger.event("turn_saved_late", "turn" to turn, "unsaved" to unsaved.size) }
            }
        }
    }

    private suspend fun write(
        turn: CallId,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit> = rows.write(turn, bytes).onRight { unsaved.remove(turn) }

    private suspend fun load(turn: CallId): Either<TurnFailure, TurnRecord> {
        recent.get(turn)?.let { return it.right() }
        unsaved[turn]?.let { return it.right() }
        val bytes = rows.read(turn).getOrElse { return TurnFailure.StoreAway(it).left() }
        return decode(turn, bytes ?: return search(turn))
    }

    private suspend fun search(turn: CallId): Either<TurnFailure, TurnRecord> =
        when (val found = peers.find(turn)) {
            is TurnSearch.Found -> decode(turn, found.record)
            is TurnSearch.Nowhere -> TurnFailure.NotFound.left()
            is TurnSearch.Unclear -> TurnFailure.GatewayAway.left()
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
        private const val MAX_TRIES = 4
        private val RETRY_PAUSE = 150.milliseconds
        private val BACKGROUND_PAUSE = 400.milliseconds

        /** Enough for the turns that callers continue within some seconds at one gateway. */
        private const val RECENT_BYTES = 12L * 1024 * 1024
    }
}
