package org.chestnutloom.fakes.command

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.proxy.faultProxy

/** Returns the command that runs a fault-injecting proxy. */
@OptIn(ExperimentalCli::class)
internal fun proxyCommand(): Subcommand =
    object : StandInCommand("proxy", "Runs a fault-injecting proxy", portFlag = "admin-port") {
        override fun standIn(): StandIn = faultProxy(port)
    }
