package org.chestnutloom.integration.benchmark

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.HdrHistogram.Histogram
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.AccountOptions
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.complete
import org.chestnutloom.integration.program.completionBody

/** Compares calls through gateway and sidecar with the same calls sent directly to the engine, alternately. */
class HopBenchmark {
    /** Runs the benchmark and prints one line per result. */
    suspend fun run() {
        Fleet(options).use { fleet ->
            fleet.start()
            val key = fleet.createKey("hospital").bearer
            repeat(
                WARM_UP_CALLS,
            ) { measurePair(fleet, key, Histogram(SIGNIFICANT_DIGITS), Histogram(SIGNIFICANT_DIGITS)) }
            compareLatency(fleet, key)
            measureThroughput(fleet, key)
        }
    }

    private suspend fun compareLatency(
        fleet: Fleet,
        key: String,
    ) {
        val direct = Histogram(SIGNIFICANT_DIGITS)
        val through = Histogram(SIGNIFICANT_DIGITS)
        repeat(MEASURED_CALLS) { measurePair(fleet, key, direct, through) }
        for (percentile in listOf(50.0, 95.0, 99.0)) {
            val directUs = direct.getValueAtPercentile(percentile)
            val throughUs = through.getValueAtPercentile(percentile)
            val ratio = throughUs.toDouble() / directUs
            println(
                "result=latency percentile=$percentile direct_us=$directUs through_us=$throughUs ratio=%.2f".format(
                    ratio,
                ),
            )
        }
    }

    private suspend fun measurePair(
        fleet: Fleet,
        key: String,
        direct: Histogram,
        through: Histogram,
    ) {
        direct.recordValue(callUs(fleet, fleet.engines.first().directUrl, null))
        through.recordValue(callUs(fleet, fleet.gatewayUrls.first(), key))
    }

    private suspend fun callUs(
        fleet: Fleet,
        url: String,
        key: String?,
    ): Long {
        val startedAtNanos = System.nanoTime()
        send(fleet, url, key)
        return (System.nanoTime() - startedAtNanos) / NANOS_PER_US
    }

    private suspend fun send(
        fleet: Fleet,
        url: String,
        key: String?,
    ): CallerResponse = fleet.caller.complete(url, key, completionBody("benchmark", TOKENS, stream = true))

    private suspend fun measureThroughput(
        fleet: Fleet,
        key: String,
    ) {
        val gateway = fleet.gateways.first()
        val before = ProcessUsage.of(gateway.process.pid)
        val startedAtNanos = System.nanoTime()
        val completed = coroutineScope { List(CALLERS) { async { sendMany(fleet, key) } }.awaitAll().sum() }
        val seconds = (System.nanoTime() - startedAtNanos) / NANOS_PER_SECOND
        val cpuSeconds = ProcessUsage.of(gateway.process.pid).cpuSeconds - before.cpuSeconds
        val perCore = completed / cpuSeconds
        println(
            "result=throughput calls=$completed requests_per_second=%.0f gateway_cpu_seconds=%.2f requests_per_gateway_core=%.0f"
                .format(completed / seconds, cpuSeconds, perCore),
        )
    }

    private suspend fun sendMany(
        fleet: Fleet,
        key: String,
    ): Int =
        (1..CALLS_PER_CALLER).count {
            (send(fleet, fleet.gatewayUrls.first(), key) as? CallerResponse.Complete)?.status == OK
        }

    private companion object {
        val options =
            FleetOptions(
                gateways = 1,
                engines = 1,
                toolServices = 1,
                accounts = listOf(AccountOptions("hospital", ratePerSecond = 100_000.0, burst = 100_000)),
                maxRunning = 64,
                engineArguments = listOf("--max-batch", "64"),
            )
        const val SIGNIFICANT_DIGITS = 3
        const val WARM_UP_CALLS = 300
        const val MEASURED_CALLS = 400
        const val TOKENS = 8
        const val CALLERS = 32
        const val CALLS_PER_CALLER = 100
        const val OK = 200
        const val NANOS_PER_US = 1_000L
        const val NANOS_PER_SECOND = 1e9
    }
}
