package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.platform.log.warnEvent
import org.chestnutloom.store.StoreFailure
import java.io.ByteArrayOutputStream

private val logger = KotlinLogging.logger {}

/**
 * Keeps turns in the platform's store, and the newest ones in memory; used on the event loop only.
 *
 * Each turn is a partition of its own, named by its id, so that it can be found without knowing its program. A record
 * that is larger than a row goes over several rows, which are written and read as one.
 *
 * @param rowBytes the most that one row holds
 */
public class TurnStore(
    private val store: RowStore,
    rowBytes: Int,
) {
    private val codec = CborCodec(TurnRecord.serializer())
    private val recent = TurnCache(RECENT_BYTES)
    private val sliceBytes = rowBytes - ROW_OVERHEAD_BYTES

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

    /** Writes [record], and returns once the store has acknowledged it. */
    public suspend fun save(record: TurnRecord): Either<StoreFailure, Unit> {
        recent.put(record)
        return write(record)
    }

    private suspend fun write(record: TurnRecord): Either<StoreFailure, Unit> {
        val bytes = codec.encode(record)
        val puts = (0..bytes.size / sliceBytes).map { RowPut(keyOf(record.id, it), slice(bytes, it)) }
        return store.change(RowChange(puts = puts)).fold(
            { failure -> if (failure is ChangeFailure.Failed) failure.cause.left() else Unit.right() },
            { Unit.right() },
        )
    }

    private fun slice(
        bytes: ByteArray,
        index: Int,
    ): ByteArray = bytes.copyOfRange(index * sliceBytes, minOf(bytes.size, (index + 1) * sliceBytes))

    private suspend fun load(id: CallId): Either<TurnFailure, TurnRecord> {
        recent.get(id)?.let { return it.right() }
        return store.read(TABLE, id.value).fold(
            { TurnFailure.StoreAway(it).left() },
            { decode(id, it.rows) },
        )
    }

    private fun decode(
        id: CallId,
        rows: List<StoredRow>,
    ): Either<TurnFailure, TurnRecord> {
        if (rows.isEmpty()) return TurnFailure.NotFound.left()
        val bytes = ByteArrayOutputStream()
        rows.sortedBy { it.key.key }.forEach { bytes.write(it.value ?: EMPTY) }
        val record =
            codec.decode(bytes.toByteArray()).getOrElse {
                logger.warnEvent("turn_malformed", "turn" to id, "detail" to it.detail)
                return TurnFailure.NotFound.left()
            }
        recent.put(record)
        return record.right()
    }

    private fun keyOf(
        id: CallId,
        index: Int,
    ): RowKey = RowKey(TABLE, id.value, index.toString().padStart(INDEX_DIGITS, '0'))

    private companion object {
        private const val TABLE = "turns"
        private const val INDEX_DIGITS = 4
        private const val ROW_OVERHEAD_BYTES = 1_024

        /** Enough for the turns that callers continue within some seconds at one gateway. */
        private const val RECENT_BYTES = 12L * 1024 * 1024
        private val EMPTY = ByteArray(0)
    }
}
