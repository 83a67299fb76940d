package org.chestnutloom.integration.fleet

import org.chestnutloom.fakes.launch.LaunchedProcess

/**
 * A running target with its sidecar.
 *
 * @property url where the sidecar reaches the target, through the proxy if there is one
 * @property linkPort the sidecar's own port for links
 */
class TargetProcess(
    val name: String,
    val isEngine: Boolean,
    val targetPort: Int,
    val logFile: String,
    val url: String,
    val linkPort: Int,
    var process: LaunchedProcess,
) {
    /** The sidecar that stands beside the target now. */
    lateinit var sidecar: LaunchedProcess

    /** Where checks reach the target, past the proxy. */
    val directUrl: String
        get() = "http://${Fleet.HOST}:$targetPort"
}
