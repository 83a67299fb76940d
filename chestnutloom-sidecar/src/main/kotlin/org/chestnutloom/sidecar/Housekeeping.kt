package org.chestnutloom.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.common.log.warnEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the periodic tasks of a sidecar. */
internal class Housekeeping(
    private val core: SidecarCore,
    private val sweepInterval: Duration,
) {
    private val logger = KotlinLogging.logger {}

    fun start(scope: CoroutineScope) {
        scope.every("queue", QUEUE_INTERVAL) { core.processQueue() }
        scope.every("expiry", EXPIRY_INTERVAL) { core.expire() }
        scope.every("probe", PROBE_INTERVAL) { core.probeTarget() }
        scope.every("cache_sweep", sweepInterval) { core.sweepCache() }
    }

    private fun CoroutineScope.every(
        name: String,
        interval: Duration,
        work: suspend () -> Unit,
    ) = launch {
        while (true) {
            attempt(name, work)
            delay(interval)
        }
    }

    /** Logs a failure of [work], so that the task runs again after its interval. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun attempt(
        name: String,
        work: suspend () -> Unit,
    ) {
        try {
            work()
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            logger.warnEvent("housekeeping_failed", "work" to name, "cause" to e.toString())
        }
    }

    private companion object {
        val QUEUE_INTERVAL = 100.milliseconds
        val EXPIRY_INTERVAL = 5.seconds
        val PROBE_INTERVAL = 1.seconds
    }
}
