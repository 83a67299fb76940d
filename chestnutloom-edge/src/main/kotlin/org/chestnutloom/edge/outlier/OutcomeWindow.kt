package org.chestnutloom.edge.outlier

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Counts the outcomes of attempts in a sliding window of [LENGTH], in buckets of [BUCKET_LENGTH]. */
internal class OutcomeWindow {
    private val attempts = IntArray(BUCKETS)
    private val failures = IntArray(BUCKETS)
    private var newestBucket = 0L
    private var total = OutcomeCounts.NONE

    /** Records an attempt that ended at [now]. */
    fun record(
        now: Duration,
        isFailure: Boolean,
    ) {
        advanceTo(now)
        val index = indexOf(newestBucket)
        attempts[index]++
        if (isFailure) failures[index]++
        total += OutcomeCounts(attempts = 1, failures = if (isFailure) 1 else 0)
    }

    /** Returns the counts of the window that ends at [now]. */
    fun counts(now: Duration): OutcomeCounts {
        advanceTo(now)
        return total
    }

    /** Removes all outcomes. */
    fun clear() {
        attempts.fill(0)
        failures.fill(0)
        total = OutcomeCounts.NONE
    }

    private fun advanceTo(now: Duration) {
        val bucket = now.inWholeMilliseconds / BUCKET_LENGTH.inWholeMilliseconds
        if (bucket - newestBucket >= BUCKETS) {
            clear()
        } else {
            for (passed in newestBucket + 1..bucket) {
                removeBucket(indexOf(passed))
            }
        }
        newestBucket = maxOf(newestBucket, bucket)
    }

    private fun removeBucket(index: Int) {
        total = OutcomeCounts(total.attempts - attempts[index], total.failures - failures[index])
        attempts[index] = 0
        failures[index] = 0
    }

    private fun indexOf(bucket: Long): Int = (bucket % BUCKETS).toInt()

    companion object {
        private const val BUCKETS = 10
        private val BUCKET_LENGTH = 500.milliseconds

        /** The length of the window. A target that recovered is free of suspicion after this time at the latest. */
        val LENGTH: Duration = BUCKET_LENGTH * BUCKETS
    }
}
