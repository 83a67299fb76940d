package org.chestnutloom.edge.target

import org.chestnutloom.edge.call.PromptPart
import org.chestnutloom.id.TargetId
import org.chestnutloom.membership.rendezvousOrder
import org.chestnutloom.queue.DecayingCounts
import org.chestnutloom.time.Clock
import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds

/**
 * Prefers some targets of a service for prompts that begin with the same part, so that gateways send them to the same
 * targets without messages; confined to the event loop.
 *
 * The number of preferred targets follows the share of the service's requests that begin with the part.
 */
internal class PrefixPlacement(
    private val directory: TargetDirectory,
    private val clock: Clock,
) {
    private val demandByService = HashMap<String, DecayingCounts<String>>()
    private val readyByService = HashMap<String, List<TargetId>>()
    private val ranksByPrefix = HashMap<Pair<String, String>, Map<TargetId, Int>>()

    init {
        directory.onChange(::dropChangedServices)
    }

    /** Counts a request for [service] whose prompt begins with [part]. */
    fun record(
        service: String,
        part: PromptPart,
    ) {
        demandByService
            .getOrPut(service) { DecayingCounts(DEMAND_HALF_LIFE, MAX_PREFIXES) }
            .add(part.id, clock.elapsed())
    }

    /** Returns whether [target] is preferred for prompts that begin with [part]. */
    fun isPreferred(
        target: Target,
        part: PromptPart,
    ): Boolean {
        val service = target.entry.service
        val demand = demandByService[service] ?: return false
        val now = clock.elapsed()
        val count = demand.count(part.id, now)
        if (count < MIN_SHARED_REQUESTS) return false
        val ranks = ranksOf(service, part)
        val preferred = ceil(count / demand.total(now) * ranks.size).coerceAtLeast(MIN_PREFERRED)
        return (ranks[target.entry.id] ?: return false) < preferred
    }

    private fun ranksOf(
        service: String,
        part: PromptPart,
    ): Map<TargetId, Int> {
        if (ranksByPrefix.size > MAX_PREFIXES) ranksByPrefix.clear()
        return ranksByPrefix.getOrPut(service to part.id) {
            val ready = readyByService.getOrPut(service) { readyIds(service) }
            rendezvousOrder(part.id, ready).withIndex().associate { (rank, id) -> id to rank }
        }
    }

    private fun dropChangedServices() {
        val changed = readyByService.filter { (service, ready) -> ready != readyIds(service) }.keys
        if (changed.isEmpty()) return
        ranksByPrefix.keys.removeIf { (service, _) -> service in changed }
        readyByService -= changed
    }

    private fun readyIds(service: String) = directory.ready(service).map { it.entry.id }

    private companion object {
        /** Short enough to follow a shift in demand within a program's duration. */
        private val DEMAND_HALF_LIFE = 10.seconds
        private const val MAX_PREFIXES = 256

        /** Below this, few requests would share what is cached. */
        private const val MIN_SHARED_REQUESTS = 3.0

        /** With one target, the prefix would be lost with it. */
        private const val MIN_PREFERRED = 2.0
    }
}
