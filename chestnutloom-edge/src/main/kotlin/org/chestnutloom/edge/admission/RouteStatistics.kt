package org.chestnutloom.edge.admission

import kotlin.math.abs
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The shape of a route's programs, learned from those that ran at this gateway. */
internal class RouteStatistics {
    private val turns = DecayingMean(DEFAULT_TURNS)
    private val serviceMs = DecayingMean(DEFAULT_SERVICE_MS)
    private val serviceDeviationMs = DecayingMean(0.0)
    private val pauseMs = DecayingMean(DEFAULT_PAUSE_MS)
    private val allowedMs = DecayingMean(0.0)

    private val continuations = List(MAX_TURNS) { DecayingMean(if (it < DEFAULT_TURNS) 1.0 else 0.0) }

    /** The mean number of turns of a program. */
    val meanTurns: Double
        get() = turns.value

    /** The mean number of slots that a program in progress occupies, at most 1. */
    val concurrency: Double
        get() = serviceMs.value / (serviceMs.value + pauseMs.value)

    /** The mean duration of a program in milliseconds. */
    val programMs: Double
        get() = (meanTurns * (serviceMs.value + pauseMs.value) - pauseMs.value).coerceAtLeast(serviceMs.value)

    /**
     * The mean duration of a program relative to the time that callers allow, or null before enough samples; above 1,
     * programs are late.
     */
    val meanPace: Double?
        get() = if (hasSamples) programMs / allowedMs.value else null

    /** The duration that most programs don't exceed, relative to the time that callers allow; null before enough samples. */
    val slowPace: Double?
        get() = if (hasSamples) slowProgramMs / allowedMs.value else null

    private val hasSamples: Boolean
        get() = minOf(serviceMs.samples, allowedMs.samples) >= MIN_SAMPLES

    /** How long a program has usually returned after a turn, if it does. */
    val pauseLimit: Duration
        get() = (pauseMs.value * PAUSE_LIMIT_FACTOR + MIN_PAUSE_LIMIT_MS).milliseconds

    /** Returns the probability that a program goes on after [completedTurns]. */
    fun continuationAfter(completedTurns: Int): Double = continuations[completedTurns.coerceAtMost(MAX_TURNS - 1)].value

    /** The deviations of single turns partly cancel out over a program. */
    private val slowProgramMs: Double
        get() = programMs + sqrt(meanTurns) * STANDARD_PER_MEAN_DEVIATION * serviceDeviationMs.value

    /** Records a program that took [count] turns. */
    fun recordTurns(count: Int) {
        turns.add(count.toDouble())
        continuations.take(count).drop(1).forEach { it.add(1.0) }
        continuations[count.coerceAtMost(MAX_TURNS - 1)].add(0.0)
    }

    /** Records a turn that took [duration], with the wait for its slot. */
    fun recordService(duration: Duration) {
        val ms = duration.inWholeMilliseconds.toDouble().coerceAtLeast(1.0)
        serviceDeviationMs.add(abs(ms - serviceMs.value))
        serviceMs.add(ms)
    }

    /** Records a pause of [duration] between two turns. */
    fun recordPause(duration: Duration) = pauseMs.add(duration.inWholeMilliseconds.toDouble())

    /** Records that a program should be complete within [duration] of its start. */
    fun recordAllowedTime(duration: Duration) =
        allowedMs.add(duration.inWholeMilliseconds.toDouble().coerceAtLeast(1.0))

    private companion object {
        /** Neutral values until programs have been seen. */
        private const val DEFAULT_TURNS = 4.0
        private const val DEFAULT_SERVICE_MS = 450.0
        private const val DEFAULT_PAUSE_MS = 100.0
        private const val MAX_TURNS = 32

        /** Pauses vary with the tool; longer ones are so rare that the program has probably ended. */
        private const val PAUSE_LIMIT_FACTOR = 3.0
        private const val MIN_PAUSE_LIMIT_MS = 100.0

        /** The ratio of a normal distribution. */
        private const val STANDARD_PER_MEAN_DEVIATION = 1.25
        private const val MIN_SAMPLES = 10L
    }
}
