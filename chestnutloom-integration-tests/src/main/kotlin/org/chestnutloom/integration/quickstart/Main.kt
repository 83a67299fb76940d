package org.chestnutloom.integration.quickstart

import kotlinx.coroutines.runBlocking
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import kotlin.system.exitProcess

/** Runs the quickstart on stand-ins; exits with 0 only if all its checks pass. */
fun main() {
    val failures = runBlocking { Fleet(FleetOptions()).use { Quickstart(it, ::println).run() } }
    failures.forEach { println("FAULT $it") }
    println(if (failures.isEmpty()) "All programs completed as expected and within budget." else "The run failed.")
    exitProcess(if (failures.isEmpty()) 0 else 1)
}
