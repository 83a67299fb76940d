package org.chestnutloom.edge.outlier

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.fleet.TargetFailures
import org.chestnutloom.edge.target.Target
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.id.GatewayId
import org.chestnutloom.time.Clock
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Ejects targets with a large share of failures, from the outcomes of this gateway's attempts and the reports of other
 * gateways; confined to the event loop.
 *
 * An ejected target gets a few trial requests once its ejection has ended, and returns to use if all of them succeed.
 */
internal class OutlierDetector(
    private val directory: TargetDirectory,
    private val clock: Clock,
) {
    private val peerFailures = PeerFailures()
    private val policy = EjectionPolicy(directory)

    /** Called at the first failure of a target in the window, which other gateways should learn of soon. */
    var onFirstFailure: () -> Unit = {}

    /** The number of targets that are ejected or on trial. */
    val ejectedCount: Int
        get() = directory.all.count { it.outlier.isEjected }

    /** Records that a request is sent to [target], and returns the ejection of which it is a trial, or null. */
    fun started(target: Target): Ejection? {
        val ejection = target.outlier.ejection?.takeIf { it.isHalfOpen(clock.elapsed()) }
        if (ejection != null) {
            ejection.trialsAssigned = (ejection.trialsAssigned - 1).coerceAtLeast(0)
            ejection.trialsInFlight++
        }
        return ejection
    }

    /** Records the [outcome] of a request to [target], for which [started] returned [trial]. */
    fun ended(
        target: Target,
        outcome: AttemptOutcome,
        trial: Ejection?,
    ) {
        record(target.outlier, outcome, clock.elapsed())
        val ejection = target.outlier.ejection
        when {
            ejection == null -> if (isFailure(outcome)) ejectIfOutlier(target)
            // Another request of the same trial may have ended it meanwhile.
            ejection === trial -> trialEnded(target, ejection, outcome)
        }
    }

    private fun record(
        state: OutlierState,
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        when (outcome) {
            AttemptOutcome.SUCCEEDED -> {
                state.connectBackoff.reset()
                state.fullBackoff.reset()
            }
            AttemptOutcome.LOST -> state.lostBackoff.record(now)
            AttemptOutcome.CONNECT_FAILED -> state.connectBackoff.record(now)
            AttemptOutcome.FULL -> state.fullBackoff.record(now)
            AttemptOutcome.UNKNOWN -> Unit
        }
        if (outcome != AttemptOutcome.SUCCEEDED && !isFailure(outcome)) return
        if (isFailure(outcome) && state.observed.counts(now).failures == 0) onFirstFailure()
        state.observed.record(now, isFailure(outcome))
        state.sinceReadmission.record(now, isFailure(outcome))
    }

    private fun isFailure(outcome: AttemptOutcome) =
        outcome == AttemptOutcome.LOST || outcome == AttemptOutcome.CONNECT_FAILED

    private fun trialEnded(
        target: Target,
        ejection: Ejection,
        outcome: AttemptOutcome,
    ) {
        ejection.trialsInFlight--
        when (outcome) {
            AttemptOutcome.SUCCEEDED -> {
                ejection.trialSuccesses++
                if (ejection.isPassed) readmit(target, ejection)
            }
            AttemptOutcome.LOST -> eject(target, evidenceOf(target), ejection.since)
            // Nothing ran, so that the backoff of connection attempts is enough, and the target can return sooner.
            AttemptOutcome.CONNECT_FAILED -> ejection.trialSuccesses = 0
            AttemptOutcome.FULL, AttemptOutcome.UNKNOWN -> Unit
        }
    }

    /** Applies the failures that [gateway] reports; none if it is unresponsive or no longer registered. */
    fun updatePeer(
        gateway: GatewayId,
        reports: List<TargetFailures>,
    ) {
        peerFailures.update(gateway, reports)
        reports.mapNotNull { directory[it.target] }.filterNot { it.outlier.isEjected }.forEach(::ejectIfOutlier)
    }

    /** Returns what this gateway reports to others: the targets with the most failures in the window. */
    fun reports(): List<TargetFailures> {
        val now = clock.elapsed()
        return directory.all
            .map { it.entry to it.outlier.observed.counts(now) }
            .filter { (_, counts) -> counts.failures > 0 }
            .sortedByDescending { (_, counts) -> counts.failures }
            .take(FailureReportLimit.MAX_PER_STATE)
            .map { (entry, counts) ->
                TargetFailures(entry.id, entry.startedAtEpochMs, counts.failures, counts.attempts)
            }
    }

    /** Returns how strong the evidence of failures of [target] is. */
    fun suspicionOf(target: Target): Suspicion {
        val now = clock.elapsed()
        val reporters = peerFailures.of(target.entry).size
        return when {
            reporters > 1 ||
                target.outlier.observed
                    .counts(now)
                    .failures > 0 -> Suspicion.STRONG
            reporters == 1 || target.outlier.isOnProbation(now) -> Suspicion.WEAK
            else -> Suspicion.NONE
        }
    }

    private fun evidenceOf(target: Target): FailureEvidence =
        FailureEvidence.of(target.outlier.sinceReadmission.counts(clock.elapsed()), peerFailures.of(target.entry))

    private fun ejectIfOutlier(target: Target) {
        val evidence = evidenceOf(target)
        if (!evidence.isOutlier(policy.minFailures(target.outlier, clock.elapsed()))) return
        if (policy.canEject(target)) eject(target, evidence, since = clock.elapsed())
    }

    private fun eject(
        target: Target,
        evidence: FailureEvidence,
        since: Duration,
    ) {
        val now = clock.elapsed()
        val duration = policy.nextDuration(target.outlier, now)
        target.outlier.ejection = Ejection(since, now + duration)
        target.outlier.readmittedAt = null
        logger.warnEvent(
            "target_ejected",
            "target" to target.entry.id,
            "service" to target.entry.service,
            "share_percent" to evidence.total.failurePercent,
            "failures" to evidence.total.failures,
            "attempts" to evidence.total.attempts,
            "window_ms" to OutcomeWindow.LENGTH.inWholeMilliseconds,
            "own_failures" to evidence.own.failures,
            "reporters" to evidence.reporters,
            "for_ms" to duration.inWholeMilliseconds,
        )
    }

    private fun readmit(
        target: Target,
        ejection: Ejection,
    ) {
        val state = target.outlier
        val now = clock.elapsed()
        state.ejection = null
        state.readmittedAt = now
        state.sinceReadmission.clear()
        repeat(Ejection.TRIALS) { state.sinceReadmission.record(now, isFailure = false) }
        logger.event(
            "target_readmitted",
            "target" to target.entry.id,
            "service" to target.entry.service,
            "out_ms" to (now - ejection.since).inWholeMilliseconds,
            "share_percent" to state.observed.counts(now).failurePercent,
            "window_ms" to OutcomeWindow.LENGTH.inWholeMilliseconds,
            "reporters" to peerFailures.of(target.entry).size,
        )
    }
}
