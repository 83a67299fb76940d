package org.chestnutloom.fakes.experiment

import org.chestnutloom.fakes.launch.LaunchedProcess

/** A running gateway with its client and administrative URLs. */
internal class GatewayNode(
    val name: String,
    val url: String,
    val adminUrl: String,
    val process: LaunchedProcess,
)
