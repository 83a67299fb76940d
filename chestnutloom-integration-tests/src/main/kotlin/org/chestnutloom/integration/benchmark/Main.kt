package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

private const val USAGE_EXIT_CODE = 2

/** Runs the benchmark that the first argument names: `hops`, `idle` or `slopes`. */
fun main(arguments: Array<String>) {
    when (arguments.firstOrNull()) {
        "hops" -> runBlocking { HopBenchmark().run() }
        "idle" -> runBlocking { IdleCostBenchmark().run() }
        "slopes" -> ScalingBenchmark().run()
        else -> {
            println("usage: benchmark hops|idle|slopes")
            exitProcess(USAGE_EXIT_CODE)
        }
    }
}
