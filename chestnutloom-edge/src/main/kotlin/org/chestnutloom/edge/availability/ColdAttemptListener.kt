package org.chestnutloom.edge.availability

import org.chestnutloom.edge.call.AttemptListener
import org.chestnutloom.edge.call.AttemptResult
import org.chestnutloom.edge.call.RoutedCall
import org.chestnutloom.edge.target.Target

/** Returns the token of a cold target for a request that did not reach it or was rejected as misdirected. */
internal class ColdAttemptListener(
    private val filter: ColdTargetFilter,
) : AttemptListener {
    override fun ended(
        call: RoutedCall,
        target: Target,
        result: AttemptResult?,
    ) {
        if (result !is AttemptResult.NotRun || call.service.coldRequestsPerSecond == null) return
        if (result.status == null || result.status == MISDIRECTED_REQUEST) filter.withdrawn(target)
    }

    private companion object {
        private const val MISDIRECTED_REQUEST = 421
    }
}
