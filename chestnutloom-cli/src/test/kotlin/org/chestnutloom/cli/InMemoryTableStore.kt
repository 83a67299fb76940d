package org.chestnutloom.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.store.Row
import org.chestnutloom.store.RowPage
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.TableStore
import org.chestnutloom.store.Transaction
import java.util.TreeMap

/** An in-memory table store; [beforeWrite] runs once before the next write, and replies can be lost. */
internal class InMemoryTableStore : TableStore {
    val rows = TreeMap<String, Row>()
    var beforeWrite: (suspend () -> Unit)? = null
    var losesNextReply = false
    var isUnavailable = false
    private var version = 0L

    fun put(
        key: String,
        value: String,
    ) {
        rows[key] = Row(key, ++version, value)
    }

    override suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>> =
        if (isUnavailable) StoreFailure.Unavailable("down").left() else keys.mapNotNull { rows[it] }.right()

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): Either<StoreFailure, RowPage> {
        val found = rows.values.filter { it.key.startsWith(prefix) && (afterKey == null || it.key > afterKey) }
        return RowPage(found.take(limit), found.size > limit).right()
    }

    override suspend fun transact(transaction: Transaction): Either<StoreFailure, List<Row>> {
        beforeWrite?.let {
            beforeWrite = null
            it()
        }
        val failed = transaction.conditions.filter { (rows[it.key]?.version ?: 0) != it.version }.map { it.key }
        if (failed.isNotEmpty()) return StoreFailure.Conflict(failed, failed.mapNotNull { rows[it] }).left()
        transaction.writes.forEach { write -> write.value?.let { put(write.key, it) } ?: rows.remove(write.key) }
        if (losesNextReply) return StoreFailure.OutcomeUnknown("lost").also { losesNextReply = false }.left()
        return transaction.writes.mapNotNull { rows[it.key] }.right()
    }
}
