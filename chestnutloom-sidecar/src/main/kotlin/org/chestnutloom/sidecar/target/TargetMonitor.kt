package org.chestnutloom.sidecar.target

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.sidecar.SidecarMetrics
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.crash.CrashTracker

/** Tracks whether the target is reachable, and distinguishes crashes from lost connections. */
internal class TargetMonitor(
    private val target: Target,
    private val crashes: CrashTracker,
    private val metrics: SidecarMetrics,
    private val onChange: () -> Unit,
) {
    private val logger = KotlinLogging.logger {}

    /** Number of the target's current process; incremented when the target becomes reachable again. */
    @Volatile
    private var processNumber = 1

    @Volatile
    var isReachable: Boolean = true
        private set

    /** Probes the target once and returns the result. */
    suspend fun probe(): TargetHealth {
        val health = target.probe()
        setReachable(health == TargetHealth.UP)
        return health
    }

    /**
     * Determines why [record] lost its connection, and returns whether the target's process has terminated.
     *
     * The process has terminated if it refuses connections, or if it does not know a request for which it has already
     * sent a part of the response.
     */
    suspend fun onLost(
        record: CallRecord,
        failure: TargetFailure,
    ): Boolean {
        val lostRequest = failure == TargetFailure.UnknownRequest && record.current.chunks.isNotEmpty()
        val isTerminated = probe() == TargetHealth.REFUSED || lostRequest
        if (isTerminated && record.markCrashed()) countCrash(record)
        return isTerminated
    }

    private fun countCrash(record: CallRecord) {
        crashes.onCrash(record.request.bodyHash, processNumber)
        metrics.recordCrash()
        logger.warnEvent("target_crashed", "call" to record.request.id, "body_hash" to record.request.bodyHash)
        onChange()
    }

    private fun setReachable(reachable: Boolean) {
        if (isReachable == reachable) return
        isReachable = reachable
        if (reachable) processNumber++
        logger.event("target_reachable", "reachable" to reachable)
        onChange()
    }
}
