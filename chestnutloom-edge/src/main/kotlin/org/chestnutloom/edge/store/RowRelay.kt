package org.chestnutloom.edge.store

import org.chestnutloom.store.StoreFailure
import org.chestnutloom.wire.message.ChangeStore
import org.chestnutloom.wire.message.RelayedRow
import org.chestnutloom.wire.message.StoreReply

/** Returns [change] as another gateway is asked to make it. */
internal fun relayed(change: RowChange): ChangeStore =
    ChangeStore(
        conditions = change.conditions.map { relayed(it.key, value = null, it.version) },
        puts = change.puts.map { relayed(it.key, it.value, version = 0) },
        removals = change.removals.map { relayed(it, value = null, version = 0) },
    )

/** Returns the change that another gateway asks for by [request]. */
internal fun changeOf(request: ChangeStore): RowChange =
    RowChange(
        conditions = request.conditions.map { RowCondition(keyOf(it), it.version) },
        puts = request.puts.mapNotNull { row -> row.value?.let { RowPut(keyOf(row), it) } },
        removals = request.removals.map(::keyOf),
    )

/** Returns [rows] as they are sent to another gateway. */
internal fun relayed(rows: List<StoredRow>): List<RelayedRow> = rows.map { relayed(it.key, it.value, it.version) }

/** Returns the rows that another gateway sent. */
internal fun storedRows(rows: List<RelayedRow>): List<StoredRow> =
    rows.map { StoredRow(keyOf(it), it.value, it.version) }

/** Returns [failure] as it is sent to another gateway. */
internal fun relayed(failure: StoreFailure): StoreReply.Failed =
    StoreReply.Failed(failure.toString(), failure is StoreFailure.OutcomeUnknown)

/** Returns the failure that another gateway sent. */
internal fun failureOf(reply: StoreReply.Failed): StoreFailure =
    if (reply.isOutcomeUnknown) StoreFailure.OutcomeUnknown(reply.detail) else StoreFailure.Unavailable(reply.detail)

private fun keyOf(row: RelayedRow): RowKey = RowKey(row.table, row.partition, row.key)

private fun relayed(
    key: RowKey,
    value: ByteArray?,
    version: Long,
): RelayedRow = RelayedRow(key.table, key.partition, key.key, value, version)
