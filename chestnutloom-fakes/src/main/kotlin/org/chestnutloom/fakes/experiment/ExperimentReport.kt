package org.chestnutloom.fakes.experiment

import java.util.Locale

/** Formats the result of an experiment as a Markdown page. */
internal class ExperimentReport(
    private val result: ExperimentResult,
    private val plots: List<String>,
) {
    fun toMarkdown(): String =
        buildString {
            appendLine("# ${result.workload}")
            appendLine()
            appendLine(
                "Seeds ${result.seeds.joinToString()}. Each cell shows the median over the seeds and, in brackets,",
            )
            appendLine("the lowest and the highest. A failed program counts with its deadline. Accounts that exceed")
            appendLine("their rate are excluded from program latency, failures, the worst account and")
            appendLine("wrongful refusals.")
            appendLine()
            appendRow(listOf("measure") + result.arms.map(Arm::name))
            appendRow(List(result.arms.size + 1) { "---" })
            Measure.all.forEach { measure -> appendRow(listOf(measure.title) + result.arms.map { cell(measure, it) }) }
            appendLine()
            appendLine("## Arms")
            appendLine()
            result.arms.forEach { appendLine("- ${it.name}: ${flagsOf(it)}") }
            appendLine()
            appendLine("## Refusals by code")
            appendLine()
            result.arms.forEach { appendLine("- ${it.name}: ${refusalsOf(it)}") }
            appendLine()
            plots.forEach { appendLine("![$it]($it)") }
        }

    private fun StringBuilder.appendRow(cells: List<String>) {
        appendLine(cells.joinToString(" | ", "| ", " |"))
    }

    private fun cell(
        measure: Measure,
        arm: Arm,
    ): String {
        val spread = Spread.of(result.runsOf(arm.name).map(measure.of))
        return "${format(spread.median)} (${format(spread.lowest)} to ${format(spread.highest)})"
    }

    private fun flagsOf(arm: Arm): String {
        val flags = arm.gatewayArguments + arm.sidecarArguments
        return if (flags.isEmpty()) "defaults" else flags.joinToString(" ", "`", "`")
    }

    private fun refusalsOf(arm: Arm): String {
        val accounts = result.runsOf(arm.name).flatMap { it.load.accounts }
        return "all ${sum(accounts.map { it.refusals })}; wrongful ${sum(accounts.map { it.wrongfulRefusals })}"
    }

    private fun sum(counts: List<Map<String, Long>>): String {
        val totals =
            counts.flatMap { it.entries }.groupingBy { it.key }.fold(
                0L,
            ) { total, entry -> total + entry.value }
        return if (totals.isEmpty()) "none" else totals.toSortedMap().entries.joinToString { "${it.key} ${it.value}" }
    }

    private fun format(value: Double): String =
        if (value >= NO_DECIMALS_FROM) {
            String.format(Locale.ROOT, "%.0f", value)
        } else {
            String.format(Locale.ROOT, "%.2f", value)
        }

    private companion object {
        const val NO_DECIMALS_FROM = 100.0
    }
}
