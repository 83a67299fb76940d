package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.edge.store.StoreLimits
import org.chestnutloom.edge.store.StoredRow
import org.chestnutloom.id.CallId
import org.chestnutloom.store.StoreFailure
import java.io.ByteArrayOutputStream

/**
 * Stores encoded turns in the platform's store.
 *
 * Each turn is a partition with the turn id as its key, so that it can be read without knowing its program. A turn
 * that exceeds the row size is split into several rows, and one that exceeds the size of a change is written in several
 * changes. The change with the first row is the last one, so that a turn without its first row has not been written.
 *
 * @param rowBytes the maximum size of a row
 */
public class TurnRows(
    private val store: RowStore,
    rowBytes: Int,
) {
    /** Row values are base64, which takes four bytes for three. */
    private val sliceBytes =
        minOf(rowBytes / BASE64_QUANTUM_BYTES * BASE64_INPUT_BYTES - ROW_OVERHEAD_BYTES, StoreLimits.MAX_CHANGE_BYTES)

    private val rowsPerChange = minOf(StoreLimits.MAX_CHANGE_BYTES / sliceBytes, StoreLimits.MAX_CHANGE_ENTRIES)

    /** Writes [bytes] as [turn] and returns when the store has acknowledged the write. */
    public suspend fun write(
        turn: CallId,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit> {
        val sliceCount = (bytes.size + sliceBytes - 1) / sliceBytes
        val puts = (0 until sliceCount).map { RowPut(keyOf(turn, it), slice(bytes, it)) }
        puts.chunked(rowsPerChange).asReversed().forEach { part ->
            val failure = store.change(RowChange(puts = part)).leftOrNull()
            // A write without conditions cannot conflict.
            if (failure is ChangeFailure.Failed) return failure.cause.left()
        }
        return Unit.right()
    }

    /** Reads [turn], or returns null when the store does not hold it. */
    public suspend fun read(turn: CallId): Either<StoreFailure, ByteArray?> {
        if (!StoreLimits.allowsName(turn.value)) return null.right()
        return store.read(TABLE_NAME, turn.value).map { snapshot ->
            val rows = snapshot.rows.sortedBy { it.key.key }
            if (rows.firstOrNull()?.key == keyOf(turn, 0)) joined(rows) else null
        }
    }

    private fun joined(rows: List<StoredRow>): ByteArray {
        val bytes = ByteArrayOutputStream()
        rows.forEach { row -> row.value?.let(bytes::write) }
        return bytes.toByteArray()
    }

    private fun slice(
        bytes: ByteArray,
        index: Int,
    ): ByteArray = bytes.copyOfRange(index * sliceBytes, minOf(bytes.size, (index + 1) * sliceBytes))

    private fun keyOf(
        turn: CallId,
        index: Int,
    ): RowKey = RowKey(TABLE_NAME, turn.value, index.toString().padStart(INDEX_DIGITS, '0'))

    private companion object {
        private const val TABLE_NAME = "turns"
        private const val INDEX_DIGITS = 4
        private const val ROW_OVERHEAD_BYTES = 256
        private const val BASE64_QUANTUM_BYTES = 4
        private const val BASE64_INPUT_BYTES = 3
    }
}
