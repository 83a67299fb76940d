package org.chestnutloom.fakes.experiment

import org.chestnutloom.fakes.launch.LaunchedProcess

/** A gateway. */
internal class GatewayNode(
    val name: String,
    val url: String,
    val adminUrl: String,
    val process: LaunchedProcess,
)
