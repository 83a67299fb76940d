package org.chestnutloom.fakes.experiment

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder
import java.nio.file.Path

/** Plots the result of an experiment. */
internal class ExperimentPlots(
    private val result: ExperimentResult,
    private val directory: Path,
) {
    /** Writes the plots as PNG files and returns the file names. */
    fun write(): List<String> {
        System.setProperty("java.awt.headless", "true")
        return listOf(
            save("latency", "Program latency p95, ms") {
                it.load.latency.p95Ms
                    .toDouble()
            },
            save("worst-account", "Worst account's p95, ms") { it.load.worstP95Ms.toDouble() },
            save("prefill", "Tokens prefilled") {
                it.load.cache.prefilledTokens
                    .toDouble()
            },
        )
    }

    private fun save(
        name: String,
        title: String,
        measure: (ArmRun) -> Double,
    ): String {
        val file = "${result.workload}-$name.png"
        BitmapEncoder.saveBitmap(
            chart(title, measure),
            directory.resolve(file).toString(),
            BitmapEncoder.BitmapFormat.PNG,
        )
        return file
    }

    private fun chart(
        title: String,
        measure: (ArmRun) -> Double,
    ): CategoryChart {
        val chart =
            CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title("${result.workload}: $title")
                .xAxisTitle("seed")
                .yAxisTitle(title)
                .build()
        result.arms.forEach { arm ->
            chart.addSeries(arm.name, result.seeds.map(Long::toString), result.runsOf(arm.name).map(measure))
        }
        return chart
    }

    private companion object {
        const val WIDTH_PIXELS = 800
        const val HEIGHT_PIXELS = 400
    }
}
