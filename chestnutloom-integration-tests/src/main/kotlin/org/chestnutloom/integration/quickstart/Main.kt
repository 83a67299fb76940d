package org.chestnutloom.integration.quickstart

import kotlinx.coroutines.runBlocking
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import kotlin.system.exitProcess

/** Runs a small environment on stand-ins, and exits with 0 only if every program ended as it should. */
fun main() {
    val faults = runBlocking { Fleet(FleetOptions()).use { Quickstart(it, ::println).run() } }
    faults.forEach { println("FAULT $it") }
    println(if (faults.isEmpty()) "Everything ended in order, on budget, with its own answers." else "The run failed.")
    exitProcess(if (faults.isEmpty()) 0 else 1)
}
