package org.chestnutloom.edge.admission

import org.chestnutloom.edge.target.ProgramAdmission
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetRequirements
import org.chestnutloom.time.Clock
import kotlin.random.Random

/**
 * Lets programs start while all programs in progress can end in time.
 *
 * Programs return after each pause, so the slots in use at one instant understate the work to which the fleet is
 * committed. That work is compared with the part of the slots up to which programs keep their deadlines.
 */
internal class CommittedWorkAdmission(
    private val tracker: ProgramTracker,
    private val peers: PeerWork,
    private val waiting: WaitingWork,
    private val memory: EngineMemory,
    private val clock: Clock,
    random: Random,
) : ProgramAdmission {
    private val limit = UtilizationLimit(clock)
    private val shares = PriorityShares(clock)
    private val retryAfter = RetryAfter(clock, random)
    private val log = AdmissionLog(clock)

    /** The mean number of slots that the programs in progress at all gateways needed at the last decision. */
    var committedSlots: Double = 0.0
        private set

    /** The slots that programs could use at the last decision. */
    var capacitySlots: Double = 0.0
        private set

    /** The utilization limit that other gateways should take into account, in percent, or 0 if it is out of date. */
    val limitPercent: Int
        get() = if (tracker.hasRecentTurns) (limit.fraction * PERCENT).toInt() else 0

    /** All gateways use nearly the same limit; one with a lower limit than the others would start no programs. */
    private val fleetLimit: Double
        get() = peers.meanLimitPercent(limitPercent)?.let { it / PERCENT } ?: limit.fraction

    override fun canStart(
        required: TargetRequirements,
        usable: List<Target>,
    ): Boolean {
        shares.requested(required.priority)
        update(required, usable)
        if (!memory.hasRoom(required, usable)) return false
        if (isLightlyLoaded(usable)) return true
        return canEndInTime(required) && committedSlots < capacitySlots * shares.fractionFor(required.priority)
    }

    override fun isWaitWorthwhile(
        required: TargetRequirements,
        usable: List<Target>,
        startsAhead: Int,
    ): Boolean {
        if (!canEndInTime(required)) return false
        val untilStartMs = waitMs(required) + (startsAhead + 1) * MS_PER_SECOND / programsPerSecond(required)
        return untilStartMs <= (required.waitUntil - clock.elapsed()).inWholeMilliseconds
    }

    override fun refused(
        required: TargetRequirements,
        usable: List<Target>,
    ): Long {
        required.program?.let { tracker.programRefused(it, required.route, required.programDeadline) }
        log.refused(committedSlots, capacitySlots)
        return retryAfter.nextMs(waitMs(required), programsPerSecond(required), required.programDeadline)
    }

    override fun started(required: TargetRequirements) {
        val hasUsedShare = committedSlots >= capacitySlots * PriorityShares.GUARANTEED_FRACTION
        shares.started(required.priority, hasUsedShare)
        required.program?.let { tracker.programStarted(it, required.route, required.programDeadline) }
        log.admitted(committedSlots, capacitySlots)
    }

    private fun update(
        required: TargetRequirements,
        usable: List<Target>,
    ) {
        // Requests of programs that no gateway tracks show in the load only.
        committedSlots = maxOf(tracker.expectedSlots() + peers.committedSlots, usable.sumOf { it.load }.toDouble())
        val slots = usable.sumOf { it.entry.slots }
        val isReached = committedSlots >= slots * fleetLimit * PriorityShares.GUARANTEED_FRACTION
        limit.update(tracker.statisticsOf(required.route).slowPace, isReached)
        capacitySlots = slots * fleetLimit
    }

    private fun isLightlyLoaded(usable: List<Target>): Boolean =
        usable.sumOf { it.load } * 2 < usable.sumOf { it.entry.slots } &&
            waiting.modelMs.isEmpty() &&
            peers.waitingBeforeMs(isModelCall = true, Int.MAX_VALUE) == 0L

    /** A program that would be late in any case only delays the others. */
    private fun canEndInTime(required: TargetRequirements): Boolean {
        val program = required.program ?: return true
        return tracker.canEndInTime(program, required.route, required.programDeadline ?: return true)
    }

    /** Returns the time in which enough programs of this gateway complete to make room, in ms. */
    private fun waitMs(required: TargetRequirements): Double {
        val room = capacitySlots * shares.fractionFor(required.priority)
        val ownPart = tracker.expectedSlots() / committedSlots.coerceAtLeast(1.0)
        val programsAhead = (committedSlots - room).coerceAtLeast(0.0) * ownPart
        return programsAhead / tracker.statisticsOf(required.route).concurrency * MS_PER_SECOND /
            programsPerSecond(required)
    }

    /** Returns the rate at which programs complete at this gateway. */
    private fun programsPerSecond(required: TargetRequirements): Double =
        tracker.programsInProgress().coerceAtLeast(1) * MS_PER_SECOND / tracker.statisticsOf(required.route).programMs

    private companion object {
        private const val PERCENT = 100.0
        private const val MS_PER_SECOND = 1_000.0
    }
}
