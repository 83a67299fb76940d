package org.chestnutloom.fakes.experiment

import org.chestnutloom.fakes.launch.LaunchedProcess

/** A target and the sidecar beside it. */
internal class TargetNode(
    val name: String,
    val url: String,
    val target: LaunchedProcess,
    val sidecar: LaunchedProcess,
) {
    /** Ends the target and its sidecar, as when their VM dies. */
    fun lose() {
        target.kill9()
        sidecar.kill9()
    }
}
