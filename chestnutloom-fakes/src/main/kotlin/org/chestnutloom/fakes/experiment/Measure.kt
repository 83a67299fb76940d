package org.chestnutloom.fakes.experiment

/**
 * A metric that an experiment compares.
 *
 * @property title row title in the report, with the unit
 */
internal class Measure(
    val title: String,
    val of: (ArmRun) -> Double,
) {
    companion object {
        /** The metrics of every report, in row order. */
        val all: List<Measure> =
            listOf(
                Measure("program latency p50, ms") {
                    it.load.latency.p50Ms
                        .toDouble()
                },
                Measure("program latency p95, ms") {
                    it.load.latency.p95Ms
                        .toDouble()
                },
                Measure("program latency p99, ms") {
                    it.load.latency.p99Ms
                        .toDouble()
                },
                Measure("worst account's p95, ms") { it.load.worstP95Ms.toDouble() },
                Measure("worst account's p95 / median account's") { it.load.worstToMedianRatio },
                Measure("worst account's share / fair share") { it.load.worstShareRatio },
                Measure("programs failed") { run -> failures(run).toDouble() },
                Measure("wrongful refusals per 1,000 requests") { it.load.wrongfulRefusalRatio * PER_THOUSAND },
                Measure("tokens prefilled, thousands") { it.load.cache.prefilledTokens / PER_THOUSAND },
                Measure("tokens prefilled though cached, thousands") {
                    it.load.cache.prefilledThoughCachedTokens / PER_THOUSAND
                },
                Measure("cache held for ended programs, thousand token-seconds") {
                    it.load.cache.goneTokenSeconds / PER_THOUSAND
                },
                Measure("wrong answers") { it.load.wrongAnswers.toDouble() },
                Measure("effects that ran twice") { it.load.duplicateEffects.toDouble() },
                Measure("gateway processor time, ms per request") { it.cost.gatewayProcessorMsPerRequest },
                Measure("sidecar processor time, ms per request") { it.cost.sidecarProcessorMsPerRequest },
                Measure("largest gateway, MB") { it.cost.gatewayResidentMb },
                Measure("largest sidecar, MB") { it.cost.sidecarResidentMb },
                Measure("table reads per second") { it.cost.tableReadsPerSecond },
                Measure("table transactions per second") { it.cost.tableTransactionsPerSecond },
            )

        private const val PER_THOUSAND = 1_000.0

        private fun failures(run: ArmRun): Int =
            run.load.accounts
                .filter { it.insideRate }
                .sumOf { it.failures.values.sum() }
    }
}
