package org.chestnutloom.daemon

import org.chestnutloom.daemon.settings.CommonSettings

/**
 * The parsed command line: the node to run and its settings.
 *
 * @property role `gateway`, `sidecar` or `edge`
 * @property id the id of the gateway or of the target
 */
internal class LaunchConfig(
    val role: String,
    val id: String,
    val common: CommonSettings,
    val factory: NodeFactory,
)
