package org.chestnutloom.edge.target

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.id.TargetId

private val logger = KotlinLogging.logger {}

/** The targets that can be used now; used on the event loop only. */
public class TargetDirectory(
    private val factory: TargetFactory,
    private val cacheTokensOf: (service: String) -> Long,
) {
    private val targets = LinkedHashMap<TargetId, Target>()
    private val listeners = mutableListOf<() -> Unit>()

    /** Whether the targets were read at least once. */
    public var isLoaded: Boolean = false
        private set

    /** All targets that the store lists, those that leave included. */
    public val all: Collection<Target>
        get() = targets.values

    /** Calls [listener] after each change. */
    public fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Returns the targets of [service] that take new requests. */
    public fun ready(service: String): List<Target> =
        targets.values.filter { it.entry.service == service && it.acceptsRequests }

    /** Takes note that the targets were read. */
    public fun markLoaded() {
        isLoaded = true
    }

    /** Takes note of a new or changed [entry]. */
    public fun update(entry: TargetEntry) {
        put(entry)
        changed()
    }

    /** Takes note that [id] names no target any more. */
    public fun remove(id: TargetId) {
        drop(id)
        changed()
    }

    private fun put(entry: TargetEntry) {
        val known = targets[entry.id]
        if (known != null && isSameRun(known.entry, entry)) {
            note(known, entry)
            known.entry = entry
            return
        }
        if (known != null) drop(entry.id)
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

    private fun note(
        known: Target,
        entry: TargetEntry,
    ) {
        if (known.entry.stage == entry.stage) return
        logger.event("target_stage", "target" to entry.id, "stage" to entry.stage)
    }

    private fun drop(id: TargetId) {
        val gone = targets.remove(id) ?: return
        gone.isRemoved = true
        gone.pool.close()
        logger.event("target_gone", "target" to id, "in_flight" to gone.inFlight)
    }

    private fun changed() {
        listeners.forEach { it() }
    }
}
