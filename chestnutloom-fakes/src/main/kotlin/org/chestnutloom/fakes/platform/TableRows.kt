package org.chestnutloom.fakes.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowPage
import org.chestnutloom.store.Transaction
import java.util.TreeMap

/** The in-memory rows of a table service; all operations are linearizable. */
internal class TableRows {
    private val lock = Any()
    private val rows = TreeMap<String, Row>()
    private var lastVersion = 0L

    fun read(keys: List<String>): List<Row> = synchronized(lock) { keys.mapNotNull(rows::get) }

    fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): RowPage =
        synchronized(lock) {
            val first = maxOf(prefix, afterKey ?: prefix)
            val matching =
                rows
                    .tailMap(first, true)
                    .values
                    .asSequence()
                    .takeWhile { it.key.startsWith(prefix) }
                    .filter { afterKey == null || it.key > afterKey }
                    .take(limit + 1)
                    .toList()
            RowPage(matching.take(limit), matching.size > limit)
        }

    fun transact(transaction: Transaction): Either<TableConflict, List<Row>> =
        synchronized(lock) {
            val failed = transaction.conditions.filterNot(::holds).map(Condition::key)
            if (failed.isNotEmpty()) return TableConflict(failed, failed.mapNotNull(rows::get)).left()
            apply(transaction).right()
        }

    private fun holds(condition: Condition): Boolean {
        val version = rows[condition.key]?.version ?: Condition.ABSENT
        return version == condition.version
    }

    private fun apply(transaction: Transaction): List<Row> = transaction.writes.mapNotNull { write(it.key, it.value) }

    private fun write(
        key: String,
        value: String?,
    ): Row? {
        lastVersion++
        if (value == null) {
            rows.remove(key)
            return null
        }
        val row = Row(key, lastVersion, value)
        rows[key] = row
        return row
    }
}
