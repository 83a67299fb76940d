package org.chestnutloom.fakes.experiment

/** The median and the range of a metric over the seeds. */
internal data class Spread(
    val median: Double,
    val lowest: Double,
    val highest: Double,
) {
    companion object {
        fun of(values: List<Double>): Spread {
            val sorted = values.sorted()
            return Spread(sorted[sorted.size / 2], sorted.first(), sorted.last())
        }
    }
}
