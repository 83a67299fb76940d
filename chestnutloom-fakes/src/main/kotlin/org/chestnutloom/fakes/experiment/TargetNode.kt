package org.chestnutloom.fakes.experiment

import org.chestnutloom.fakes.launch.LaunchedProcess

/** A running target and its sidecar. */
internal class TargetNode(
    val name: String,
    val url: String,
    val target: LaunchedProcess,
    val sidecar: LaunchedProcess,
) {
    /** Kills the target and its sidecar, as if their VM had failed. */
    fun kill() {
        target.kill9()
        sidecar.kill9()
    }
}
