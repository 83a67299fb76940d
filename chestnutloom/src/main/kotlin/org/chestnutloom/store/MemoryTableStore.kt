package org.chestnutloom.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.TreeMap

/** Returns an empty table service that lives in memory, for tests and experiments. */
public fun memoryTableStore(): MemoryTableStore = MemoryTableStore()

/** A table service in memory that can be down, lose replies and lose requests on command. */
public class MemoryTableStore internal constructor() : TableStore {
    private val lock = Any()
    private val rows = TreeMap<String, Row>()
    private val held = ArrayDeque<Transaction>()
    private var lastVersion = 0L

    /** Whether each operation answers that the store cannot serve. */
    @Volatile
    public var isDown: Boolean = false

    /** How many of the next transactions take effect without an answer. */
    @Volatile
    public var repliesToLose: Int = 0

    /** How many of the next transactions get no answer and take effect only by [releaseHeld]. */
    @Volatile
    public var requestsToHold: Int = 0

    /** How many transactions took effect so far. */
    @Volatile
    public var transactionCount: Long = 0
        private set

    /** Applies the transactions that were held back, where their conditions still hold. */
    public fun releaseHeld() {
        synchronized(lock) {
            while (held.isNotEmpty()) apply(held.removeFirst())
        }
    }

    override suspend fun read(keys: List<String>): Either<StoreFailure, List<Row>> {
        if (isDown) return unavailable.left()
        return synchronized(lock) { keys.mapNotNull(rows::get) }.right()
    }

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): Either<StoreFailure, RowPage> {
        if (isDown) return unavailable.left()
        return synchronized(lock) { page(prefix, afterKey, limit) }.right()
    }

    override suspend fun transact(transaction: Transaction): Either<StoreFailure, List<Row>> {
        if (isDown) return unavailable.left()
        return synchronized(lock) { answer(transaction) }
    }

    private fun answer(transaction: Transaction): Either<StoreFailure, List<Row>> {
        if (requestsToHold > 0) {
            requestsToHold -= 1
            held.addLast(transaction)
            return noAnswer.left()
        }
        val result = apply(transaction)
        if (repliesToLose > 0) {
            repliesToLose -= 1
            return noAnswer.left()
        }
        return result
    }

    private fun apply(transaction: Transaction): Either<StoreFailure, List<Row>> {
        val failed = transaction.conditions.filter { versionOf(it.key) != it.version }
        if (failed.isNotEmpty()) return conflict(failed).left()
        transactionCount += 1
        return transaction.writes.mapNotNull(::write).right()
    }

    private fun versionOf(key: String): Long = rows[key]?.version ?: Condition.ABSENT

    private fun conflict(failed: List<Condition>): StoreFailure {
        val keys = failed.map { it.key }
        return StoreFailure.Conflict(keys, keys.mapNotNull(rows::get))
    }

    private fun write(write: RowWrite): Row? {
        lastVersion += 1
        val value = write.value
        if (value == null) {
            rows.remove(write.key)
            return null
        }
        val row = Row(write.key, lastVersion, value)
        rows[write.key] = row
        return row
    }

    private fun page(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): RowPage {
        val start = if (afterKey != null && afterKey > prefix) afterKey else prefix
        val matches =
            rows
                .tailMap(start, true)
                .values
                .asSequence()
                .filter { it.key != afterKey }
                .takeWhile { it.key.startsWith(prefix) }
                .take(limit + 1)
                .toList()
        return RowPage(matches.take(limit), matches.size > limit)
    }

    private companion object {
        val unavailable = StoreFailure.Unavailable("the store is down")
        val noAnswer = StoreFailure.OutcomeUnknown("no answer came")
    }
}
