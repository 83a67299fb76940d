package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ProgramLoad
import org.chestnutloom.fakes.edge.RowStoreStandIn
import kotlin.time.Duration.Companion.seconds

/** Measures what an edge gateway costs to start or, if [fleetSizes] are given, without callers in fleets of these sizes. */
class EdgeCostBenchmark(
    private val fleetSizes: List<Int>,
) {
    /** Prints one line for each start or fleet size. */
    suspend fun run() {
        val store = RowStoreStandIn()
        store.start()
        val load = ProgramLoad(store)
        load.start()
        try {
            if (fleetSizes.isEmpty()) repeat(STARTS) { measureStart(store, load) }
            fleetSizes.forEach { measureIdle(store, it) }
        } finally {
            load.stop()
            store.stop()
        }
    }

    private suspend fun measureStart(
        store: RowStoreStandIn,
        load: ProgramLoad,
    ) {
        EdgeProcess(0, store).use { gateway ->
            until { gateway.isListening }
            val listening = ProcessUsage.of(gateway.pid)
            until { gateway.isReady }
            delay(SETTLE)
            val ready = ProcessUsage.of(gateway.pid)
            val cold = cpuMsPerCall(gateway, load, COLD_PROGRAMS)
            cpuMsPerCall(gateway, load, WARM_PROGRAMS)
            val warm = cpuMsPerCall(gateway, load, WARM_PROGRAMS)
            val classes = gateway.loadedClasses
            println(
                "result=edge_start cpu_s_listening=%.2f cpu_s_settled=%.2f peak_mb=%.0f classes=%d outside_archive=%d "
                    .plus("cpu_ms_per_call_cold=%.2f cpu_ms_per_call_warm=%.2f")
                    .format(
                        listening.cpuSeconds,
                        ready.cpuSeconds,
                        ProcessUsage.of(gateway.pid).peakMb,
                        classes.total,
                        classes.outsideArchive,
                        cold,
                        warm,
                    ),
            )
        }
        store.keys(GATEWAY_TABLE).forEach { store.remove(GATEWAY_TABLE, it) }
    }

    private suspend fun cpuMsPerCall(
        gateway: EdgeProcess,
        load: ProgramLoad,
        programs: Int,
    ): Double {
        val before = ProcessUsage.of(gateway.pid).cpuSeconds
        val calls = (1..programs).flatMap { load.program(listOf(gateway.callerUrl)) }
        check(calls.all { it == STATUS_OK }) { "expected status 200 for each call, found ${calls.toSet()}" }
        return (ProcessUsage.of(gateway.pid).cpuSeconds - before) * MS_PER_SECOND / calls.size
    }

    private suspend fun measureIdle(
        store: RowStoreStandIn,
        size: Int,
    ) {
        val gateways = List(size) { EdgeProcess(it, store) }
        try {
            gateways.forEach { until { it.isReady } }
            delay(SETTLE * 2)
            val before = gateways.map { ProcessUsage.of(it.pid) }
            delay(MEASURED)
            val after = gateways.map { ProcessUsage.of(it.pid) }
            val seconds = MEASURED.inWholeSeconds * size.toDouble()
            val cpu = (after.sumOf { it.cpuSeconds } - before.sumOf { it.cpuSeconds }) / seconds
            println(
                "result=edge_idle gateways=%d cpu_percent=%.2f resident_mb=%.0f".format(
                    size,
                    cpu * PERCENT,
                    after.sumOf { it.residentMb } / size,
                ),
            )
        } finally {
            gateways.forEach { it.close() }
            store.keys(GATEWAY_TABLE).forEach { store.remove(GATEWAY_TABLE, it) }
        }
    }

    private companion object {
        const val STARTS = 2
        const val GATEWAY_TABLE = "gateways"
        const val PERCENT = 100
        const val MS_PER_SECOND = 1_000
        const val STATUS_OK = 200
        const val COLD_PROGRAMS = 25
        const val WARM_PROGRAMS = 50
        val SETTLE = 2.seconds
        val MEASURED = 10.seconds
    }
}
