package org.chestnutloom.edge.target

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.chestnutloom.common.log.event
import org.chestnutloom.edge.target.RunWatch.Companion.REPLACEMENT_TIME
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Takes a target for alive if it accepts a connection; confined to the event loop.
 *
 * A process that dies closes its sockets one after the other, so the connection is opened only after a pause. Another
 * process that listens at the same address within that pause can be told only once the store has announced it. One that
 * may have come there earlier is told by the time that has passed since the run of the target is known to have been there,
 * whether its connection ended late or this gateway stood still; where that time is too long, by a connection that the run
 * accepted before and still serves.
 *
 * @property connect opens a connection for later requests to the target; returns whether the target accepted it
 */
internal class ListeningProbe(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val directory: TargetDirectory,
    private val connect: suspend (Target) -> Boolean,
) : TargetLiveness {
    /** The probes that those who ask now may share, since their pause has not begun. */
    private val joinable = HashMap<Target, Deferred<Duration?>>()

    override suspend fun isAlive(
        target: Target,
        evidence: RunEvidence,
    ): Boolean {
        evidence.ask()
        val acceptedAt = joinable.getOrPut(target) { start(target) }.await() ?: return false
        if (acceptedAt - evidence.runningAt <= REPLACEMENT_TIME) return true
        // The reset that a run which has ended answers with arrives no later than that connection was accepted.
        delay(JOIN_PERIOD)
        logRunCheck(target, acceptedAt, evidence)
        return evidence.isConfirmed
    }

    private fun logRunCheck(
        target: Target,
        acceptedAt: Duration,
        evidence: RunEvidence,
    ) {
        logger.event(
            "target_run_checked",
            "target" to target.entry.id,
            "confirmed" to evidence.isConfirmed,
            "unknown_ms" to (acceptedAt - evidence.runningAt).inWholeMilliseconds,
        )
    }

    /** Starts a probe whose result is the time at which the target accepted a connection, or null. */
    private fun start(target: Target): Deferred<Duration?> =
        scope.async {
            val startedAt = clock.elapsed()
            // A target that leaves may serve on after its row was removed; only a removal meanwhile may be another run.
            val wasRemoved = target.isRemoved
            val isSameRun = { target.isRemoved == wasRemoved && !isReplaced(target) }
            delay(JOIN_PERIOD)
            joinable.remove(target)
            delay(PAUSE)
            val isListening = isSameRun() && connect(target) && isSameRun()
            val endedAt = clock.elapsed()
            logger.event(
                "target_probed",
                "target" to target.entry.id,
                "listening" to isListening,
                "was_removed" to wasRemoved,
                "took_ms" to (endedAt - startedAt).inWholeMilliseconds,
            )
            if (isListening) endedAt else null
        }

    /** Returns whether another target, or another run of this one, has registered the address since. */
    private fun isReplaced(target: Target): Boolean =
        directory.all.any { it !== target && it.entry.address == target.entry.address && !startedBefore(it, target) }

    /** Returns whether [other] is known to have started before [target], so that its row is only left over. */
    private fun startedBefore(
        other: Target,
        target: Target,
    ): Boolean {
        val otherStart = other.entry.startedAtEpochMs ?: return false
        val start = target.entry.startedAtEpochMs ?: return false
        return otherStart < start
    }

    private companion object {
        /** Responses that one process leaves behind arrive this close together. */
        private val JOIN_PERIOD = 5.milliseconds

        /** The time after which a process that closed a connection because it dies no longer listens. */
        private val PAUSE = 20.milliseconds
    }
}
