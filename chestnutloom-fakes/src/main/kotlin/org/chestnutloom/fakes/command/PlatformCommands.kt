package org.chestnutloom.fakes.command

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.platform.objectStandIn
import org.chestnutloom.fakes.platform.tableStandIn
import org.chestnutloom.fakes.platform.vmListStandIn

/** Returns the command that runs a stand-in for the table service. */
@OptIn(ExperimentalCli::class)
internal fun tableCommand(): Subcommand =
    object : StandInCommand("table", "Runs a stand-in for the table service") {
        override fun standIn(): StandIn = tableStandIn(port)
    }

/** Returns the command that runs a stand-in for the object store. */
@OptIn(ExperimentalCli::class)
internal fun objectsCommand(): Subcommand =
    object : StandInCommand("objects", "Runs a stand-in for the object store") {
        override fun standIn(): StandIn = objectStandIn(port)
    }

/** Returns the command that runs a stand-in for the VM list. */
@OptIn(ExperimentalCli::class)
internal fun vmsCommand(): Subcommand =
    object : StandInCommand("vms", "Runs a stand-in for the VM list") {
        override fun standIn(): StandIn = vmListStandIn(port)
    }
