package org.chestnutloom.dedup

import org.chestnutloom.id.CallId
import org.chestnutloom.time.Clock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Returns an empty deduplication table.
 *
 * @param maxIds the number of ids at which new ids can no longer be claimed; fences and concurrent claims can exceed it
 */
public fun <T : Any> deduplicationTable(
    clock: Clock,
    maxIds: Int,
): DeduplicationTable<T> = ConcurrentDeduplicationTable(clock, maxIds)

/** A deduplication table on a concurrent map whose immutable entries are replaced atomically. */
internal class ConcurrentDeduplicationTable<T : Any>(
    private val clock: Clock,
    private val maxIds: Int,
) : DeduplicationTable<T> {
    private val entries = ConcurrentHashMap<CallId, RunEntry<T>>()

    override val size: Int
        get() = entries.size

    override fun claim(
        id: CallId,
        attempt: Int,
        create: () -> T,
    ): Claim<T> {
        var claim: Claim<T> = Claim.TableFull
        val hasRoom = entries.size < maxIds
        entries.compute(id) { _, entry ->
            if (entry == null && !hasRoom) return@compute null
            if (entry != null && !entry.admits(attempt)) {
                claim = duplicateOf(entry)
                return@compute entry
            }
            val value = create()
            claim = Claim.Acquired(value, entry?.value)
            RunEntry(RunState.QUEUED, attempt, value, clock.elapsed())
        }
        return claim
    }

    override fun start(
        id: CallId,
        attempt: Int,
    ): Boolean =
        change(id, attempt) { entry ->
            entry.takeIf { it.state == RunState.QUEUED }?.copy(state = RunState.RUNNING, changedAt = clock.elapsed())
        }

    override fun end(
        id: CallId,
        attempt: Int,
        isRetryable: Boolean,
    ): Boolean =
        change(id, attempt) { entry ->
            entry
                .takeIf { it.state == RunState.RUNNING }
                ?.copy(state = RunState.ENDED, changedAt = clock.elapsed(), isRetryable = isRetryable)
        }

    override fun markNotRun(
        id: CallId,
        attempt: Int,
    ): Boolean =
        change(id, attempt) { entry ->
            entry
                .takeIf { it.isOpen }
                ?.copy(state = RunState.NOT_RUN, value = null, changedAt = clock.elapsed())
        }

    override fun fence(
        id: CallId,
        includeQueued: Boolean,
    ): RunStatus<T> {
        var status = RunStatus<T>(RunState.NOT_RUN, null)
        entries.compute(id) { _, entry ->
            val isFenced = entry == null || entry.state == RunState.NOT_RUN
            val becomesFenced = isFenced || includeQueued && entry?.state == RunState.QUEUED
            if (!becomesFenced && entry != null) {
                status = entry.status()
                return@compute entry
            }
            status = RunStatus(RunState.NOT_RUN, entry?.value)
            RunEntry(RunState.NOT_RUN, ALL_ATTEMPTS, null, clock.elapsed())
        }
        return status
    }

    override fun find(id: CallId): RunStatus<T>? = entries[id]?.status()

    override fun running(): List<T> = entries.values.filter { it.state == RunState.RUNNING }.mapNotNull { it.value }

    override fun forget(id: CallId): T? {
        var dropped: T? = null
        entries.computeIfPresent(id) { _, entry ->
            if (entry.state != RunState.ENDED) return@computeIfPresent entry
            dropped = entry.value
            entry.copy(value = null)
        }
        return dropped
    }

    override fun remove(id: CallId) {
        entries.remove(id)
    }

    override fun expireIds(before: Duration): List<T> {
        val expired = entries.filterValues { !it.isOpen && it.changedAt < before }
        return expired.mapNotNull { (id, entry) -> entry.value.takeIf { entries.remove(id, entry) } }
    }

    override fun expireValues(before: Duration): List<T> {
        val expired = entries.filterValues { it.state == RunState.ENDED && it.changedAt < before }
        return expired.keys.mapNotNull { forget(it) }
    }

    private fun duplicateOf(entry: RunEntry<T>): Claim<T> {
        if (entry.state == RunState.NOT_RUN) return Claim.Fenced
        val value = entry.value ?: return Claim.Forgotten
        return Claim.Duplicate(value)
    }

    private fun change(
        id: CallId,
        attempt: Int,
        next: (RunEntry<T>) -> RunEntry<T>?,
    ): Boolean {
        var changed = false
        entries.computeIfPresent(id) { _, entry ->
            val replacement = if (entry.attempt == attempt) next(entry) else null
            changed = replacement != null
            replacement ?: entry
        }
        return changed
    }

    private companion object {
        const val ALL_ATTEMPTS = Int.MAX_VALUE
    }
}
