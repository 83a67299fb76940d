package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import kotlin.system.exitProcess

private const val USAGE_EXIT_CODE = 2

/** Runs the benchmark that the first argument names: `hops`, `idle`, `edge` or `slopes`, or records the classes of an edge gateway. */
fun main(arguments: Array<String>) {
    when (arguments.firstOrNull()) {
        "hops" -> runBlocking { HopBenchmark().run() }
        "idle" -> runBlocking { IdleCostBenchmark().run() }
        "edge" -> runBlocking { EdgeCostBenchmark(arguments.drop(1).map { it.toInt() }).run() }
        "edge-classes" -> runBlocking { EdgeClassRecorder(Path.of(arguments[1])).run() }
        "slopes" -> ScalingBenchmark().run()
        else -> {
            println("usage: benchmark hops|idle|slopes|edge [GATEWAYS...]|edge-classes FILE")
            exitProcess(USAGE_EXIT_CODE)
        }
    }
}
