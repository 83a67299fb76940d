package org.chestnutloom.sidecar.target

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.sidecar.SidecarMetrics
import org.chestnutloom.sidecar.call.CallRecord
import org.chestnutloom.sidecar.crash.CrashWatch

/** Knows whether the target is reachable, and tells a crash from a lost connection. */
internal class TargetMonitor(
    private val target: Target,
    private val crashes: CrashWatch,
    private val metrics: SidecarMetrics,
    private val onChange: () -> Unit,
) {
    private val logger = KotlinLogging.logger {}

    /** Number of the target's current process, as far as crashes tell. */
    @Volatile
    private var processNumber = 1

    @Volatile
    var isReachable: Boolean = true
        private set

    /** Probes the target once and returns what it found. */
    suspend fun probe(): TargetHealth {
        val health = target.probe()
        setReachable(health == TargetHealth.UP)
        return health
    }

    /**
     * Finds out why [record] lost its connection, and returns whether the target's process is gone.
     *
     * The process is gone when nothing listens at its address, or when it knows nothing of a request that it had
     * begun to answer.
     */
    suspend fun onLost(
        record: CallRecord,
        failure: TargetFailure,
    ): Boolean {
        val hasForgotten = failure == TargetFailure.UnknownRequest && record.current.chunks.isNotEmpty()
        val isGone = probe() == TargetHealth.REFUSED || hasForgotten
        if (isGone && record.markCrashed()) countCrash(record)
        return isGone
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
