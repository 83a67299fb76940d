package org.chestnutloom.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.TreeMap

/** Returns an empty in-memory table service, for tests and experiments. */
public fun memoryTableStore(): MemoryTableStore = MemoryTableStore()

/** An in-memory table service that can simulate outages, lost replies and delayed requests. */
public class MemoryTableStore internal constructor() : TableStore {
    private val lock = Any()
    private val rows = TreeMap<String, Row>()
    private val held = ArrayDeque<Transaction>()
    private var lastVersion = 0L

    /** Whether every operation fails with [StoreFailure.Unavailable]. */
    @Volatile
    public var isDown: Boolean = false

    /** Number of next transactions that take effect but whose reply is lost. */
    @Volatile
    public var repliesToLose: Int = 0

    /** Number of next transactions that get no reply and take effect only on [releaseHeld]. */
    @Volatile
    public var requestsToHold: Int = 0

    /** Number of transactions that took effect. */
    @Volatile
    public var transactionCount: Long = 0
        private set

    /** Applies the held transactions whose conditions still hold. */
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
        return synchronized(lock) { transactOnce(transaction) }
    }

    private fun transactOnce(transaction: Transaction): Either<StoreFailure, List<Row>> {
        if (requestsToHold > 0) {
            requestsToHold -= 1
            held.addLast(transaction)
            return noReply.left()
        }
        val result = apply(transaction)
        if (repliesToLose > 0) {
            repliesToLose -= 1
            return noReply.left()
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
        val unavailable = StoreFailure.Unavailable("simulated outage")
        val noReply = StoreFailure.OutcomeUnknown("no reply was received")
    }
}
