package org.chestnutloom.edge.outlier

import org.chestnutloom.edge.fleet.GatewayState

/** Bounds the failure reports in a heartbeat, so that they do not push it beyond the largest datagram. */
internal object FailureReportLimit {
    /** The reports in one state, a quarter of those in a heartbeat, so that it relays at least three states. */
    const val MAX_PER_STATE: Int = 8

    private const val MAX_PER_HEARTBEAT = 32

    /**
     * Returns the states of [relayed] whose reports fit beside [ownReports] in one heartbeat.
     *
     * Other states are left out whole, since a state without its reports would withdraw them.
     */
    fun fitting(
        ownReports: Int,
        relayed: List<GatewayState>,
    ): List<GatewayState> {
        var reports = ownReports
        return relayed.filter { state ->
            val fits = reports + state.failures.size <= MAX_PER_HEARTBEAT
            if (fits) reports += state.failures.size
            fits
        }
    }
}
