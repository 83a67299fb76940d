package org.chestnutloom.edge.store

import org.chestnutloom.store.StoreFailure
import org.chestnutloom.wire.message.ChangeStore
import org.chestnutloom.wire.message.RelayedRow
import org.chestnutloom.wire.message.StoreReply

/** Returns the message that asks another gateway to apply [change]. */
internal fun toWire(change: RowChange): ChangeStore =
    ChangeStore(
        conditions = change.conditions.map { toWire(it.key, value = null, it.version) },
        puts = change.puts.map { toWire(it.key, it.value, version = 0) },
        removals = change.removals.map { toWire(it, value = null, version = 0) },
    )

/** Returns the change that another gateway requests with [request]. */
internal fun changeFromWire(request: ChangeStore): RowChange =
    RowChange(
        conditions = request.conditions.map { RowCondition(keyOf(it), it.version) },
        puts = request.puts.mapNotNull { row -> row.value?.let { RowPut(keyOf(row), it) } },
        removals = request.removals.map(::keyOf),
    )

/** Converts [rows] to their form in link messages. */
internal fun toWire(rows: List<StoredRow>): List<RelayedRow> = rows.map { toWire(it.key, it.value, it.version) }

/** Converts rows of a link message to stored rows. */
internal fun rowsFromWire(rows: List<RelayedRow>): List<StoredRow> =
    rows.map { StoredRow(keyOf(it), it.value, it.version) }

/** Converts [failure] to its form in link messages. */
internal fun toWire(failure: StoreFailure): StoreReply.Failed =
    StoreReply.Failed(failure.toString(), failure is StoreFailure.OutcomeUnknown)

/** Converts the failure in a link message. */
internal fun failureFromWire(reply: StoreReply.Failed): StoreFailure =
    if (reply.isOutcomeUnknown) StoreFailure.OutcomeUnknown(reply.detail) else StoreFailure.Unavailable(reply.detail)

private fun keyOf(row: RelayedRow): RowKey = RowKey(row.table, row.partition, row.key)

private fun toWire(
    key: RowKey,
    value: ByteArray?,
    version: Long,
): RelayedRow = RelayedRow(key.table, key.partition, key.key, value, version)
