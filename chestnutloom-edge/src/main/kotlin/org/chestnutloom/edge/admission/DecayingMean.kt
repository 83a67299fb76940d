package org.chestnutloom.edge.admission

/** A mean in which the weight of a sample decays with the number of later ones; [value] is the initial one at first. */
internal class DecayingMean(
    initial: Double,
) {
    var value: Double = initial
        private set

    var samples: Long = 0L
        private set

    fun add(sample: Double) {
        samples++
        value += maxOf(1.0 / samples, MIN_SAMPLE_WEIGHT) * (sample - value)
    }

    private companion object {
        private const val MIN_SAMPLE_WEIGHT = 0.05
    }
}
