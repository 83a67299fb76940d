package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import java.nio.file.Files
import java.nio.file.Path

/** Measures the load on the table service and the resource usage of gateways while there are no calls. */
class IdleCostBenchmark {
    /** Measures fleets of increasing size and prints one line per size. */
    suspend fun run() {
        for (gateways in listOf(2, 4, 8, 16)) {
            Fleet(FleetOptions(gateways = gateways, engines = 2, toolServices = 1)).use { measure(it) }
        }
    }

    private suspend fun measure(fleet: Fleet) {
        fleet.start()
        delay(SETTLE_MS)
        val statsBefore = tableStats(fleet)
        val usagesBefore = fleet.gateways.map { ProcessUsage.of(it.process.pid) }
        val bytesBefore = loopbackBytes()
        delay(MEASURE_MS)
        val seconds = MEASURE_MS / MS_PER_SECOND
        val stats =
            tableStats(fleet).mapValues { (name, value) ->
                (value - statsBefore.getOrDefault(name, 0.0)) /
                    seconds
            }
        val usages = fleet.gateways.map { ProcessUsage.of(it.process.pid) }
        val cpu = usages.zip(usagesBefore).sumOf { (after, before) -> after.cpuSeconds - before.cpuSeconds } / seconds
        val gateways = fleet.gateways.size
        val kbPerGateway = (loopbackBytes() - bytesBefore) / seconds / gateways / BYTES_PER_KB
        println(
            "result=idle gateways=$gateways cpu_percent_per_gateway=%.2f resident_mb_per_gateway=%.0f loopback_kb_per_gateway=%.1f %s"
                .format(
                    cpu / gateways * PERCENT_PER_CORE,
                    usages.sumOf { it.residentMb } / gateways,
                    kbPerGateway,
                    perSecond(stats),
                ),
        )
    }

    private fun perSecond(stats: Map<String, Double>): String =
        stats.entries.joinToString(" ") { (name, value) -> "table_${name}_per_second=%.1f".format(value) }

    private suspend fun tableStats(fleet: Fleet): Map<String, Double> {
        val stats = fleet.admin.read("${fleet.table.url}/admin/stats").jsonObject
        return numbers(stats)
    }

    private fun numbers(json: JsonObject): Map<String, Double> =
        json.mapNotNull { (name, value) -> value.jsonPrimitive.doubleOrNull?.let { name to it } }.toMap()

    /** Returns the bytes received on the loopback interface so far, or 0 if there is no such interface. */
    private fun loopbackBytes(): Double {
        val line =
            Files.readAllLines(Path.of("/proc/net/dev")).firstOrNull { it.trim().startsWith("lo:") } ?: return 0.0
        return line
            .substringAfter(':')
            .trim()
            .split(' ')
            .first()
            .toDouble()
    }

    private companion object {
        const val SETTLE_MS = 6_000L
        const val MEASURE_MS = 10_000L
        const val MS_PER_SECOND = 1_000.0
        const val PERCENT_PER_CORE = 100.0
        const val BYTES_PER_KB = 1_024.0
    }
}
