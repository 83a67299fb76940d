package org.chestnutloom.edge.target

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.route.RouteQuery
import org.chestnutloom.route.RoutingPolicy
import org.chestnutloom.route.TargetView
import org.chestnutloom.time.Clock

/**
 * Gives requests to targets, and makes them wait in order of urgency while all targets are full.
 *
 * Engines admit requests as they come, so that urgent requests can only pass others here.
 *
 * @property failureDomain where this gateway stands
 */
public class TargetScheduler(
    private val directory: TargetDirectory,
    private val policy: RoutingPolicy,
    private val failureDomain: String,
    private val clock: Clock,
) {
    private val waiting = ArrayList<Waiter>()
    private var arrivals = 0L

    init {
        directory.onChange { dispatch() }
    }

    /** Requests that wait for a target. */
    public val waitingCount: Int
        get() = waiting.size

    /** Returns a target that [needs] can be sent to now, after waiting if all are full. */
    public suspend fun acquire(needs: TargetRequirements): Either<Refusal, Target> {
        val usable = usable(needs)
        if (usable.isEmpty()) return noTarget().left()
        if (waiting.none { isBefore(it.needs, needs) }) {
            choose(needs, usable)?.let { return take(it).right() }
        }
        val waitMs = expectedWaitMs(needs, usable)
        if (waitMs > (needs.waitUntil - clock.elapsed()).inWholeMilliseconds) return overloaded(needs, waitMs).left()
        return await(needs)
    }

    /** Gives back the place of a request at [target]. */
    public fun release(target: Target) {
        target.inFlight--
        dispatch()
    }

    /** Gives free places to the requests that wait. */
    public fun dispatch() {
        val placeless = HashSet<PlaceKind>()
        val waiters = waiting.iterator()
        while (waiters.hasNext()) {
            val waiter = waiters.next()
            val kind = kindOf(waiter.needs)
            if (kind in placeless) continue
            val target = choose(waiter.needs, usable(waiter.needs))
            if (target == null) {
                placeless += kind
            } else {
                waiters.remove()
                waiter.target.complete(take(target))
            }
        }
    }

    private fun kindOf(needs: TargetRequirements) = PlaceKind(needs.service, needs.startsProgram)

    /** Whether [waiting] gets a place before a request with [needs] that comes after it. */
    private fun isBefore(
        waiting: TargetRequirements,
        needs: TargetRequirements,
    ): Boolean = kindOf(waiting) == kindOf(needs) && waiting.rank <= needs.rank

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun await(needs: TargetRequirements): Either<Refusal, Target> {
        val waiter = Waiter(needs, arrivals++)
        val index = waiting.binarySearch(waiter, ORDER)
        waiting.add(-index - 1, waiter)
        var isHandedOut = false
        try {
            val target = withTimeoutOrNull(needs.waitUntil - clock.elapsed()) { waiter.target.await() }
            isHandedOut = target != null
            return target?.right() ?: overloaded(needs, expectedWaitMs(needs, usable(needs))).left()
        } finally {
            waiting.remove(waiter)
            // The place may have been given in the moment in which the request stopped waiting.
            if (!isHandedOut && waiter.target.isCompleted) release(waiter.target.getCompleted())
        }
    }

    private fun take(target: Target): Target {
        target.inFlight++
        return target
    }

    private fun usable(needs: TargetRequirements): List<Target> {
        val ready = directory.ready(needs.service).filter { it.entry.id !in needs.excluded }
        val now = clock.elapsed()
        return ready.filterNot { it.health.isResting(now) }.ifEmpty { ready }
    }

    private fun choose(
        needs: TargetRequirements,
        usable: List<Target>,
    ): Target? {
        if (needs.startsProgram && !hasRoomForProgram(usable)) return null
        val free = usable.filter { it.load < it.entry.slots + QUEUED_AHEAD }
        val query = RouteQuery(needs.prompt.sumOf { it.tokens }.toLong(), failureDomain)
        val chosen = policy.choose(query, free.map { view(it, needs) }) ?: return null
        return free.first { it.entry.id == chosen.id }
    }

    /**
     * Whether so few places at [usable] are taken that one more program can start.
     *
     * Engines slow down with each request in their batch. So that the programs under way end in time, no program is
     * started on the places that they need for their next turns.
     */
    private fun hasRoomForProgram(usable: List<Target>): Boolean =
        usable.sumOf { it.load } < usable.sumOf { it.entry.slots } * START_SHARE

    private fun view(
        target: Target,
        needs: TargetRequirements,
    ): TargetView =
        TargetView(
            id = target.entry.id,
            failureDomain = target.entry.failureDomain,
            expectedWaitMs = delayMs(target, needs).toLong(),
            callsInFlight = target.load,
            maxRunningCalls = target.entry.slots,
            sentSince = 0,
            sentTokensSince = 0,
            prefillTokensPerSecond = PREFILL_TOKENS_PER_SECOND,
            cachedTokens = target.cache.cachedTokens(needs.prompt),
        )

    /** Returns how much later an answer comes from [target] than from an idle one. */
    private fun delayMs(
        target: Target,
        needs: TargetRequirements,
    ): Double {
        val beyond = (target.load - target.entry.slots + 1).coerceAtLeast(0)
        val sharing = if (needs.isModelCall) target.load * SHARING_MS else target.load * PLAIN_SHARING_MS
        return sharing + beyond * occupancyMs(needs) / target.entry.slots
    }

    private fun expectedWaitMs(
        needs: TargetRequirements,
        usable: List<Target>,
    ): Double {
        val slots = usable.sumOf { it.entry.slots }.coerceAtLeast(1)
        val ahead = waiting.count { isBefore(it.needs, needs) }
        return ahead * occupancyMs(needs) / slots
    }

    private fun occupancyMs(needs: TargetRequirements): Double =
        if (needs.isModelCall) MODEL_OCCUPANCY_MS else PLAIN_OCCUPANCY_MS

    private fun noTarget(): Refusal =
        Refusal(RefusalCode.NO_TARGET, Execution.NOT_RUN, "no target is reachable", NO_TARGET_RETRY_MS)

    private fun overloaded(
        needs: TargetRequirements,
        waitMs: Double,
    ): Refusal {
        val shortestMs = if (needs.startsProgram) START_RETRY_MS else SHORTEST_RETRY_MS
        val retryAfterMs = waitMs.toLong().coerceIn(shortestMs, LONGEST_RETRY_MS)
        return Refusal(RefusalCode.OVERLOADED, Execution.NOT_RUN, "all targets are full", retryAfterMs)
    }

    /** Requests that can use the same places. */
    private data class PlaceKind(
        val service: String,
        val startsProgram: Boolean,
    )

    private class Waiter(
        val needs: TargetRequirements,
        val arrival: Long,
    ) {
        val target = CompletableDeferred<Target>()
    }

    private companion object {
        private val ORDER = compareBy<Waiter>({ it.needs.rank }, { it.arrival })

        /** Requests that may wait at a target, so that a place is not idle for the time of one exchange. */
        private const val QUEUED_AHEAD = 1

        /** The part of the targets' slots up to which programs are started. */
        private const val START_SHARE = 0.5

        private const val PREFILL_TOKENS_PER_SECOND = 170_000.0

        /** Each request in an engine's batch delays each of the others by about so much over a usual answer. */
        private const val SHARING_MS = 8.0
        private const val PLAIN_SHARING_MS = 5.0

        /** How long a usual request holds a place. */
        private const val MODEL_OCCUPANCY_MS = 450.0
        private const val PLAIN_OCCUPANCY_MS = 80.0

        private const val NO_TARGET_RETRY_MS = 300L
        private const val SHORTEST_RETRY_MS = 50L
        private const val START_RETRY_MS = 250L
        private const val LONGEST_RETRY_MS = 2_000L
    }
}
