package org.chestnutloom.edge.turn

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.edge.store.ChangeFailure
import org.chestnutloom.edge.store.RowChange
import org.chestnutloom.edge.store.RowKey
import org.chestnutloom.edge.store.RowPut
import org.chestnutloom.edge.store.RowStore
import org.chestnutloom.id.CallId
import org.chestnutloom.store.StoreFailure
import java.io.ByteArrayOutputStream

/**
 * Stores encoded turns in the platform's store.
 *
 * Each turn is a partition with the turn id as its key, so that it can be read without knowing its program. A turn
 * that exceeds the row size is split into several rows, which are written and read together.
 *
 * @param rowBytes the maximum size of a row
 */
public class TurnRows(
    private val store: RowStore,
    rowBytes: Int,
) {
    /** Row values are base64, which takes four bytes for three. */
    private val sliceBytes = rowBytes / BASE64_QUANTUM_BYTES * BASE64_INPUT_BYTES - ROW_OVERHEAD_BYTES

    /** Writes [bytes] as [turn] and returns when the store has acknowledged the write. */
    public suspend fun write(
        turn: CallId,
        bytes: ByteArray,
    ): Either<StoreFailure, Unit> {
        val puts = (0..bytes.size / sliceBytes).map { RowPut(keyOf(turn, it), slice(bytes, it)) }
        return store.change(RowChange(puts = puts)).fold(
            // A write without conditions cannot conflict.
            { failure -> if (failure is ChangeFailure.Failed) failure.cause.left() else Unit.right() },
            { Unit.right() },
        )
    }

    /** Reads [turn], or returns null when the store does not hold it. */
    public suspend fun read(turn: CallId): Either<StoreFailure, ByteArray?> =
        store.read(TABLE_NAME, turn.value).map { snapshot ->
            val slices = snapshot.rows.sortedBy { it.key.key }.mapNotNull { it.value }
            if (slices.isEmpty()) null else joined(slices)
        }

    private fun joined(slices: List<ByteArray>): ByteArray {
        val bytes = ByteArrayOutputStream()
        slices.forEach(bytes::write)
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
