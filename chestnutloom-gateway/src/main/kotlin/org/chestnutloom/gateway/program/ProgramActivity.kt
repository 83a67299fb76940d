package org.chestnutloom.gateway.program

import org.chestnutloom.id.ProgramId
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** Tracks the time of the last request for each root program that this gateway served. */
internal class ProgramActivity(
    private val clock: Clock,
) {
    private val lastRequests =
        object : LinkedHashMap<String, Duration>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Duration>): Boolean = size > MAX_PROGRAMS
        }

    /** Records a request for [program]. */
    @Synchronized
    fun touch(program: ProgramId) {
        lastRequests[program.root] = clock.elapsed()
    }

    /** Removes and returns the root programs that had no request for longer than [limit]. */
    @Synchronized
    fun takeIdle(limit: Duration): List<ProgramId> {
        val now = clock.elapsed()
        val idle = lastRequests.entries.takeWhile { now - it.value > limit }.map { it.key }
        idle.forEach { lastRequests.remove(it) }
        return idle.map(::ProgramId)
    }

    private companion object {
        const val INITIAL_CAPACITY = 1_024
        const val LOAD_FACTOR = 0.75f
        const val MAX_PROGRAMS = 100_000
    }
}
