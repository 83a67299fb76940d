package org.chestnutloom.edge.target

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.route.RouteQuery
import org.chestnutloom.route.TargetView
import org.chestnutloom.time.Clock

/**
 * Assigns requests to targets, and queues them by priority while all targets are full.
 *
 * Engines serve requests in order of arrival, so priorities can only be applied in this queue.
 *
 * @property failureDomain the failure domain of this gateway
 */
public class TargetScheduler internal constructor(
    private val directory: TargetDirectory,
    private val policy: SchedulingPolicy,
    private val failureDomain: String,
    private val clock: Clock,
) {
    private val waiting = ArrayList<QueuedRequest>()
    private var nextArrival = 0L

    init {
        directory.onChange { dispatch() }
    }

    /** The number of queued requests. */
    public val waitingCount: Int
        get() = waiting.size

    /** Acquires a slot at a target that meets [required], after waiting if all are full. */
    public suspend fun acquire(required: TargetRequirements): Either<Refusal, Target> {
        val usable = usable(required)
        if (usable.isEmpty()) return noTarget().left()
        val request = queuedRequest(required)
        val ahead = countAhead(request)
        if (ahead == 0) choose(request, usable)?.let { return occupy(it, required).right() }
        val waitMs = expectedWaitMs(request, ahead, usable)
        val isTooLong = waitMs > (required.waitUntil - clock.elapsed()).inWholeMilliseconds
        if (isTooLong || !isWaitWorthwhile(required, usable, ahead)) return refusal(required, usable, waitMs).left()
        val acquired = await(request)
        val target = acquired.getOrNull() ?: return acquired
        if (isStillAllowed(required, target)) return acquired
        withdraw(target)
        return acquire(required)
    }

    /** Releases the slot of a request at [target]. */
    public fun release(target: Target) {
        target.inFlight--
        dispatch()
    }

    /** Assigns free slots to queued requests. */
    public fun dispatch() {
        if (waiting.isEmpty()) return
        sortWaiting()
        val saturated = HashSet<SlotClass>()
        val waiters = waiting.iterator()
        while (waiters.hasNext()) {
            val waiter = waiters.next()
            val slotClass = slotClassOf(waiter.requirements)
            if (slotClass in saturated) continue
            val target = choose(waiter, usable(waiter.requirements))
            if (target == null) {
                saturated += slotClass
            } else {
                waiters.remove()
                policy.queueObserver.removed(waiter)
                waiter.target.complete(occupy(target, waiter.requirements))
            }
        }
    }

    private fun slotClassOf(required: TargetRequirements) =
        SlotClass(required.service, required.startsProgram, required.priority)

    private fun queuedRequest(required: TargetRequirements): QueuedRequest {
        val request = QueuedRequest(required, nextArrival++, clock.elapsed(), policy.costs.serviceTimeMs(required))
        policy.queueObserver.rank(request)
        return request
    }

    /** Returns the number of queued requests that get slots of the same kind before [request]. */
    private fun countAhead(request: QueuedRequest): Int =
        waiting.count { competes(it.requirements, request.requirements) && policy.queueOrder.compare(it, request) < 0 }

    private fun competes(
        queued: TargetRequirements,
        required: TargetRequirements,
    ): Boolean = queued.service == required.service && queued.startsProgram == required.startsProgram

    /** Orders the queue by the current ranks, which change as time passes. */
    private fun sortWaiting() {
        waiting.forEach(policy.queueObserver::rank)
        waiting.sortWith(policy.queueOrder)
    }

    private fun isWaitWorthwhile(
        required: TargetRequirements,
        usable: List<Target>,
        ahead: Int,
    ): Boolean = !required.startsProgram || policy.admission.isWaitWorthwhile(required, usable, ahead)

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun await(waiter: QueuedRequest): Either<Refusal, Target> {
        val required = waiter.requirements
        sortWaiting()
        val index = waiting.binarySearch(waiter, policy.queueOrder)
        waiting.add(-index - 1, waiter)
        policy.queueObserver.added(waiter)
        var isAssigned = false
        try {
            val target = withTimeoutOrNull(required.waitUntil - clock.elapsed()) { waiter.target.await() }
            isAssigned = target != null
            return target?.right() ?: refusalAfterWait(waiter).left()
        } finally {
            if (waiting.remove(waiter)) policy.queueObserver.removed(waiter)
            // The slot may have been assigned at the moment in which the request stopped waiting.
            if (!isAssigned && waiter.target.isCompleted) withdraw(waiter.target.getCompleted())
        }
    }

    private fun occupy(
        target: Target,
        required: TargetRequirements,
    ): Target {
        target.inFlight++
        policy.listeners.forEach { it.assigned(required, target) }
        if (required.startsProgram) policy.admission.started(required)
        return target
    }

    /** Releases the slot of a request that will not be sent to [target]. */
    public fun withdraw(target: Target) {
        policy.listeners.forEach { it.withdrawn(target) }
        release(target)
    }

    private fun usable(required: TargetRequirements): List<Target> {
        val ready = directory.ready(required.service).filter { it.entry.id !in required.excludedTargets }
        return policy.filters.fold(ready) { targets, filter -> filter.filter(required, targets) }
    }

    private fun choose(
        request: QueuedRequest,
        usable: List<Target>,
    ): Target? {
        val required = request.requirements
        if (policy.queueObserver.mustLeaveSlot(request, usable)) return null
        if (required.startsProgram && !policy.admission.canStart(required, usable)) return null
        val free = usable.filter { it.load < it.entry.slots + maxQueuedAtTarget(required) }
        val preferred = policy.preferences.fold(free) { targets, filter -> filter.filter(required, targets) }
        val query = RouteQuery(required.prompt.sumOf { it.tokens }.toLong(), failureDomain)
        val chosen = policy.routing.choose(query, preferred.map { view(it, required) }) ?: return null
        return free.first { it.entry.id == chosen.id }
    }

    private fun maxQueuedAtTarget(required: TargetRequirements): Int =
        if (required.isModelCall || policy.isQueuedAtPlainTargets) MAX_QUEUED_AT_TARGET else 0

    private fun view(
        target: Target,
        required: TargetRequirements,
    ): TargetView =
        TargetView(
            id = target.entry.id,
            failureDomain = target.entry.failureDomain,
            expectedWaitMs = policy.costs.delayMs(target, required).toLong(),
            callsInFlight = target.load,
            maxRunningCalls = target.entry.slots,
            sentSinceReport = 0,
            tokensSentSinceReport = 0,
            prefillTokensPerSecond = policy.costs.prefillTokensPerSecond(target),
            cachedTokens = policy.costs.cachedTokens(target, required),
        )

    private fun expectedWaitMs(
        request: QueuedRequest,
        ahead: Int,
        usable: List<Target>,
    ): Double = ahead * request.serviceMs / usable.sumOf { it.entry.slots }.coerceAtLeast(1)

    /** Returns whether [target] may still get the request, which has waited since [acquire] returned. */
    public fun isStillUsable(
        required: TargetRequirements,
        target: Target,
    ): Boolean = directory.ready(required.service).any { it === target } && isStillAllowed(required, target)

    /** Returns whether [target] may still get the request, which waited after the slot was assigned. */
    private fun isStillAllowed(
        required: TargetRequirements,
        target: Target,
    ): Boolean = policy.finalChecks.all { it.filter(required, listOf(target)).isNotEmpty() }

    private fun refusalAfterWait(waiter: QueuedRequest): Refusal {
        val required = waiter.requirements
        val usable = usable(required)
        if (usable.isEmpty()) return noTarget()
        return refusal(required, usable, expectedWaitMs(waiter, countAhead(waiter), usable))
    }

    private fun noTarget(): Refusal =
        Refusal(RefusalCode.NO_TARGET, Execution.NOT_RUN, "No target is available.", NO_TARGET_RETRY_MS)

    private fun refusal(
        required: TargetRequirements,
        usable: List<Target>,
        waitMs: Double,
    ): Refusal {
        val admissionMs = if (required.startsProgram) policy.admission.refused(required, usable) else null
        val minRetryMs = if (required.startsProgram) START_RETRY_MS else MIN_RETRY_MS
        val retryAfterMs = admissionMs ?: waitMs.toLong().coerceIn(minRetryMs, MAX_RETRY_MS)
        return Refusal(RefusalCode.OVERLOADED, Execution.NOT_RUN, "All targets are full.", retryAfterMs)
    }

    /** A group of requests that compete for the same slots. */
    private data class SlotClass(
        val service: String,
        val startsProgram: Boolean,
        val priority: Int,
    )

    private companion object {
        /** Requests that may queue at a target, so that no slot is idle during a network round trip. */
        private const val MAX_QUEUED_AT_TARGET = 1

        private const val NO_TARGET_RETRY_MS = 300L
        private const val MIN_RETRY_MS = 50L
        private const val START_RETRY_MS = 250L
        private const val MAX_RETRY_MS = 2_000L
    }
}
