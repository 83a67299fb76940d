package org.chestnutloom.edge.target

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.id.TargetId

private val logger = KotlinLogging.logger {}

/** The targets registered in the store; confined to the event loop. */
public class TargetDirectory(
    private val factory: TargetFactory,
    private val cacheTokensOf: (service: String) -> Long,
) {
    private val targets = LinkedHashMap<TargetId, Target>()
    private val listeners = mutableListOf<() -> Unit>()

    /** Whether the targets have been read at least once. */
    public var isLoaded: Boolean = false
        private set

    /** All registered targets, including those that are draining. */
    public val all: Collection<Target>
        get() = targets.values

    /** Returns the registered target with this [id], or null. */
    public operator fun get(id: TargetId): Target? = targets[id]

    /** Calls [listener] after each change. */
    public fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Returns the targets of [service] that accept new requests. */
    public fun ready(service: String): List<Target> =
        targets.values.filter { it.entry.service == service && it.acceptsRequests }

    /** Records that the targets have been read. */
    public fun markLoaded() {
        isLoaded = true
    }

    /** Adds or updates the target of [entry]. */
    public fun update(entry: TargetEntry) {
        putEntry(entry)
        notifyListeners()
    }

    /** Removes the target with [id]. */
    public fun remove(id: TargetId) {
        removeTarget(id)
        notifyListeners()
    }

    private fun putEntry(entry: TargetEntry) {
        val known = targets[entry.id]
        if (known != null && isSameRun(known.entry, entry)) {
            logStageChange(known, entry)
            known.entry = entry
            return
        }
        if (known != null) removeTarget(entry.id)
        targets[entry.id] = factory.create(entry, cacheTokensOf(entry.service))
        logger.event(
            "target_found",
            "target" to entry.id,
            "service" to entry.service,
            "address" to "${entry.address.host}:${entry.address.port}",
            "stage" to entry.stage,
        )
    }

    private fun isSameRun(
        known: TargetEntry,
        entry: TargetEntry,
    ): Boolean =
        known.startedAtEpochMs == entry.startedAtEpochMs &&
            known.address == entry.address &&
            known.service == entry.service

    private fun logStageChange(
        known: Target,
        entry: TargetEntry,
    ) {
        if (known.entry.stage == entry.stage) return
        logger.event("target_stage", "target" to entry.id, "stage" to entry.stage)
    }

    private fun removeTarget(id: TargetId) {
        val removed = targets.remove(id) ?: return
        removed.isRemoved = true
        removed.pool.close()
        logger.event("target_gone", "target" to id, "in_flight" to removed.inFlight)
    }

    private fun notifyListeners() {
        listeners.forEach { it() }
    }
}
