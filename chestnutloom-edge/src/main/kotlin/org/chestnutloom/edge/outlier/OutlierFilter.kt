package org.chestnutloom.edge.outlier

import org.chestnutloom.edge.target.AssignmentListener
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetFilter
import org.chestnutloom.edge.target.TargetRequirements
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Prefers targets that are not ejected and, for requests that may not be repeated, those that are not under suspicion.
 *
 * It never returns an empty list for a list with targets: if all are bad, all are used.
 */
internal class OutlierFilter(
    private val detector: OutlierDetector,
    private val clock: Clock,
) : TargetFilter,
    AssignmentListener {
    private val lastRepeatableAt = HashMap<String, Duration>()

    override fun filter(
        required: TargetRequirements,
        candidates: List<Target>,
    ): List<Target> {
        val now = clock.elapsed()
        if (required.isRepeatable) lastRepeatableAt[required.service] = now
        val byRank = candidates.groupBy { rankOf(it, required, now) }
        val trial = byRank[Rank.TRIAL].orEmpty()
        val inUse = byRank.filterKeys { it in Rank.IN_USE }.toSortedMap().values
        val preferred = inUse.firstOrNull { hasRoom(it, required) } ?: inUse.flatten()
        return when {
            // Admission computes the load of the service from the targets that a program start may use.
            trial.any(::hasFreeSlot) -> if (required.startsProgram) trial + preferred else trial.filter(::hasFreeSlot)
            preferred.isNotEmpty() -> preferred
            else -> byRank[Rank.BACKING_OFF] ?: candidates
        }
    }

    /** Counts trials as soon as they have a slot: many queued requests may get one before the first of them is sent. */
    override fun assigned(
        required: TargetRequirements,
        target: Target,
    ) {
        target.outlier.ejection
            ?.takeIf { it.isHalfOpen(clock.elapsed()) }
            ?.let { it.trialsAssigned++ }
    }

    override fun withdrawn(target: Target) {
        target.outlier.ejection?.let { it.trialsAssigned = (it.trialsAssigned - 1).coerceAtLeast(0) }
    }

    private fun rankOf(
        target: Target,
        required: TargetRequirements,
        now: Duration,
    ): Rank {
        val state = target.outlier
        val ejection = state.ejection
        return when {
            state.connectBackoff.isActive(now) -> Rank.OUT
            ejection != null ->
                if (!state.isBackingOff(now) && mayTry(ejection, required, now)) Rank.TRIAL else Rank.OUT
            state.isBackingOff(now) -> Rank.BACKING_OFF
            required.isRepeatable -> Rank.TRUSTED
            else -> Rank.of(detector.suspicionOf(target))
        }
    }

    /** A request that may not be repeated is a trial only if no others come, and then one at a time. */
    private fun mayTry(
        ejection: Ejection,
        required: TargetRequirements,
        now: Duration,
    ): Boolean {
        if (!ejection.isHalfOpen(now) || ejection.missingTrials <= 0) return false
        if (required.isRepeatable) return true
        val last = lastRepeatableAt[required.service]
        val areTrialsPending = ejection.trialsInFlight + ejection.trialsAssigned > 0
        return !areTrialsPending && (last == null || now - last >= REPEATABLE_TRAFFIC_TIMEOUT)
    }

    /** Programs start by the load of all targets, other requests wherever a slot is free. */
    private fun hasRoom(
        targets: List<Target>,
        required: TargetRequirements,
    ): Boolean =
        if (required.startsProgram) {
            targets.sumOf { it.load } * 2 < targets.sumOf { it.entry.slots }
        } else {
            targets.any(::hasFreeSlot)
        }

    private fun hasFreeSlot(target: Target): Boolean = target.load < target.entry.slots

    private enum class Rank {
        TRIAL,
        TRUSTED,
        WEAKLY_SUSPECTED,
        STRONGLY_SUSPECTED,
        BACKING_OFF,
        OUT,
        ;

        companion object {
            val IN_USE = TRUSTED..STRONGLY_SUSPECTED

            fun of(suspicion: Suspicion): Rank =
                when (suspicion) {
                    Suspicion.NONE -> TRUSTED
                    Suspicion.WEAK -> WEAKLY_SUSPECTED
                    Suspicion.STRONG -> STRONGLY_SUSPECTED
                }
        }
    }

    private companion object {
        /** After this time without requests that may be repeated, a service is assumed to have none. */
        private val REPEATABLE_TRAFFIC_TIMEOUT = 15.seconds
    }
}
