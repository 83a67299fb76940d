package org.chestnutloom.daemon

import org.chestnutloom.daemon.settings.CommonSettings

/**
 * What the command line asks to run.
 *
 * @property role `gateway`, `sidecar` or `edge`
 * @property id the gateway id or target id
 */
internal class LaunchConfig(
    val role: String,
    val id: String,
    val common: CommonSettings,
    val factory: NodeFactory,
)
