package org.chestnutloom.edge.outlier

import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.call.AttemptResult
import org.chestnutloom.edge.call.RoutedCall
import org.chestnutloom.edge.target.Target

/** Passes the outcomes of attempts to an [OutlierDetector]. */
internal class OutlierListener(
    private val detector: OutlierDetector,
) : AttemptListener {
    private val trials = HashMap<RoutedCall, Ejection>()

    override fun started(
        call: RoutedCall,
        target: Target,
    ) {
        detector.started(target)?.let { trials[call] = it }
    }

    override fun ended(
        call: RoutedCall,
        target: Target,
        result: AttemptResult?,
    ) {
        detector.ended(target, outcomeOf(result), trials.remove(call))
    }
}

/** Returns what [result] tells about the target, or that it tells nothing if the caller left (null). */
internal fun outcomeOf(result: AttemptResult?): AttemptOutcome =
    when (result) {
        is AttemptResult.Responded ->
            when {
                result.isComplete -> AttemptOutcome.SUCCEEDED
                result.isTargetFailure -> AttemptOutcome.LOST
                else -> AttemptOutcome.UNKNOWN
            }
        is AttemptResult.Lost -> AttemptOutcome.LOST
        is AttemptResult.NotRun ->
            if (result.status == null) AttemptOutcome.CONNECT_FAILED else AttemptOutcome.FULL
        is AttemptResult.TimedOut, null -> AttemptOutcome.UNKNOWN
    }
