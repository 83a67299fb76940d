package org.chestnutloom.integration.fleet

import kotlinx.coroutines.delay
import org.chestnutloom.fakes.launch.LaunchedProcess

/**
 * A running gateway process.
 *
 * @property httpPort the HTTP port that the gateway listens on
 * @property callerPort the port that callers connect to: that of the proxy if there is one
 */
class GatewayProcess(
    val name: String,
    val process: LaunchedProcess,
    val linkPort: Int,
    val httpPort: Int,
    val callerPort: Int,
    val adminPort: Int,
) {
    /** Base URL for callers. */
    val url: String
        get() = "http://${Fleet.HOST}:$callerPort"

    /** Base URL of the admin endpoints. */
    val adminUrl: String
        get() = "http://${Fleet.HOST}:$adminPort"

    /** Waits until the gateway reports that it is ready. */
    suspend fun awaitReady(admin: StandInAdminClient) {
        repeat(MAX_POLLS) {
            if (admin.statusOf("$adminUrl/ready") == READY_STATUS) return
            delay(POLL_MS)
        }
        throw NotReadyException(name, process.output.toString())
    }

    private companion object {
        const val READY_STATUS = 200
        const val MAX_POLLS = 300
        const val POLL_MS = 100L
    }
}
