package org.chestnutloom.edge.admission

import io.github.oshai.kotlinlogging.KotlinLogging
import org.chestnutloom.common.log.event
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Logs the number of admitted and refused programs, at most once a second and only while some are refused. */
internal class AdmissionLog(
    private val clock: Clock,
) {
    private var admitted = 0
    private var refused = 0
    private var loggedAt: Duration? = null

    fun admitted(
        committedSlots: Double,
        capacitySlots: Double,
    ) {
        admitted++
        logIfDue(committedSlots, capacitySlots)
    }

    fun refused(
        committedSlots: Double,
        capacitySlots: Double,
    ) {
        refused++
        logIfDue(committedSlots, capacitySlots)
    }

    private fun logIfDue(
        committedSlots: Double,
        capacitySlots: Double,
    ) {
        val now = clock.elapsed()
        if (refused == 0 || loggedAt?.let { now - it < INTERVAL } == true) return
        loggedAt = now
        logger.event(
            "program_admission",
            "admitted" to admitted,
            "refused" to refused,
            "committed" to committedSlots.toInt(),
            "capacity" to capacitySlots.toInt(),
        )
        admitted = 0
        refused = 0
    }

    private companion object {
        private val INTERVAL = 1.seconds
    }
}
