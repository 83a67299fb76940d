package org.chestnutloom.integration.fleet

import kotlinx.coroutines.delay
import org.chestnutloom.fakes.launch.LaunchedProcess

/**
 * A running gateway.
 *
 * @property httpPort the gateway's own port for callers
 * @property callerPort the port that callers use, the proxy's if there is one
 */
class GatewayProcess(
    val name: String,
    val process: LaunchedProcess,
    val linkPort: Int,
    val httpPort: Int,
    val callerPort: Int,
    val adminPort: Int,
) {
    /** Where callers reach the gateway. */
    val url: String
        get() = "http://${Fleet.HOST}:$callerPort"

    /** Where operators reach the gateway. */
    val adminUrl: String
        get() = "http://${Fleet.HOST}:$adminPort"

    /** Waits until the gateway says that it is ready. */
    suspend fun awaitReady(admin: FakeAdminClient) {
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
