package org.chestnutloom.gateway.control

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime

/** Counts the admissions in excess of those that a single token bucket for the whole fleet would allow. */
internal class ReferenceBucket(
    private val test: TestScope,
    private val ratePerSecond: Double,
    private val burst: Int,
) {
    private var tokens = burst.toDouble()
    private var atMs = 0L
    var admitted = 0
    var excess = 0

    fun admit() {
        tokens = minOf(burst.toDouble(), tokens + (test.currentTime - atMs) * ratePerSecond / 1000) - 1
        atMs = test.currentTime
        admitted += 1
        if (tokens < -1e-6) excess += 1
    }
}
