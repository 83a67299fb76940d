package org.chestnutloom.integration.fleet

import org.chestnutloom.fakes.launch.LaunchedProcess

/**
 * The processes of a target and its sidecar.
 *
 * @property url base URL that the sidecar uses, through the proxy if there is one
 * @property linkPort the port on which the sidecar accepts links
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
    /** The current sidecar process of the target. */
    lateinit var sidecar: LaunchedProcess

    /** Base URL of the target that bypasses the proxy. */
    val directUrl: String
        get() = "http://${Fleet.HOST}:$targetPort"
}
