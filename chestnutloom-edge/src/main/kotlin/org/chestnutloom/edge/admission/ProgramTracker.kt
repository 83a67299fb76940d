package org.chestnutloom.edge.admission

import org.chestnutloom.id.ProgramId
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the programs in progress at this gateway and learns how much work they need; confined to the event loop.
 *
 * A program is a sequence of model calls (turns) with pauses between them.
 */
internal class ProgramTracker(
    private val clock: Clock,
) {
    /** In the order of the last event of each program. */
    private val programs = LinkedHashMap<ProgramId, TrackedProgram>(INITIAL_PROGRAMS, LOAD_FACTOR, true)

    /** The time that programs had when they were first refused. */
    private val allowedByRefused = LinkedHashMap<ProgramId, Duration>()
    private val statisticsByRoute = HashMap<String, RouteStatistics>()

    private var lastTurnAt: Duration? = null

    /** Whether a turn has ended so recently that what was learned shows the current load. */
    val hasRecentTurns: Boolean
        get() = lastTurnAt?.let { clock.elapsed() - it < RECENT } == true

    /** Returns what was learned of the programs of [route]. */
    fun statisticsOf(route: String): RouteStatistics = statisticsByRoute.getOrPut(route) { RouteStatistics() }

    /** Returns the mean number of slots that the programs in progress are expected to occupy. */
    fun expectedSlots(): Double {
        forgetIdle()
        val now = clock.elapsed()
        return programs.values.sumOf { it.expectedSlots(now) }
    }

    /** Returns the number of programs that are expected to continue. */
    fun programsInProgress(): Int {
        val now = clock.elapsed()
        return programs.values.count { it.expectedSlots(now) > 0 }
    }

    /** Records that [program] has got its first slot and should be complete by [deadline]. */
    fun programStarted(
        program: ProgramId,
        route: String,
        deadline: Duration?,
    ) {
        if (program in programs) return
        track(program, route, deadline, hasStartedHere = true)
        recordAllowedTime(program, route, deadline)
    }

    /** Records that [program], which should be complete by [deadline], was refused. */
    fun programRefused(
        program: ProgramId,
        route: String,
        deadline: Duration?,
    ) {
        recordAllowedTime(program, route, deadline)
        if (deadline == null) return
        allowedByRefused.putIfAbsent(program, deadline - clock.elapsed())
        if (allowedByRefused.size > MAX_REFUSED) allowedByRefused.remove(allowedByRefused.keys.first())
    }

    /** Returns whether [program] has the time that its route's programs need, if it has lost time by refusals. */
    fun canEndInTime(
        program: ProgramId,
        route: String,
        deadline: Duration,
    ): Boolean {
        val allowed = allowedByRefused[program] ?: return true
        return deadline - clock.elapsed() >= allowed * (statisticsOf(route).meanPace ?: return true)
    }

    /** Records the time that the caller allows when [program] first asks to start; refused programs return with less. */
    private fun recordAllowedTime(
        program: ProgramId,
        route: String,
        deadline: Duration?,
    ) {
        if (deadline != null &&
            program !in allowedByRefused
        ) {
            statisticsOf(route).recordAllowedTime(deadline - clock.elapsed())
        }
    }

    /** Records that a turn of [program], which arrived at [arrivedAt], has got a slot. */
    fun turnStarted(
        program: ProgramId,
        route: String,
        arrivedAt: Duration,
        deadline: Duration?,
    ) {
        val tracked = programs[program] ?: track(program, route, deadline, hasStartedHere = false)
        tracked.lastSeenAt = clock.elapsed()
        val pauseStart = tracked.lastEndedAt?.takeIf { tracked.runningTurns == 0 && it <= arrivedAt }
        pauseStart?.let { tracked.statistics.recordPause(arrivedAt - it) }
        tracked.lastEndedAt = null
        tracked.runningTurns++
    }

    /** Records the end of a turn of [program] that arrived at [arrivedAt]. */
    fun turnEnded(
        program: ProgramId,
        arrivedAt: Duration,
        isComplete: Boolean,
    ) {
        val tracked = programs[program] ?: return
        val now = clock.elapsed()
        tracked.runningTurns = (tracked.runningTurns - 1).coerceAtLeast(0)
        tracked.lastSeenAt = now
        if (!isComplete) return
        lastTurnAt = now
        tracked.completedTurns++
        tracked.lastEndedAt = now
        tracked.statistics.recordService(now - arrivedAt)
    }

    private fun track(
        program: ProgramId,
        route: String,
        deadline: Duration?,
        hasStartedHere: Boolean,
    ): TrackedProgram {
        forgetIdle()
        val tracked = TrackedProgram(statisticsOf(route), deadline, hasStartedHere, clock.elapsed())
        programs[program] = tracked
        return tracked
    }

    private fun forgetIdle() {
        val idleSince = clock.elapsed() - IDLE_LIMIT
        val leastRecent = programs.values.iterator()
        while (leastRecent.hasNext()) {
            val program = leastRecent.next()
            if (program.lastSeenAt >= idleSince) return
            if (program.runningTurns > 0 && program.lastSeenAt >= clock.elapsed() - RUNNING_LIMIT) continue
            leastRecent.remove()
            learnTurns(program)
        }
    }

    /** Learns the length of an ended program, unless its caller may have given it up early because it was late. */
    private fun learnTurns(program: TrackedProgram) {
        if (!program.hasStartedHere || program.completedTurns == 0) return
        val isLate = program.deadline != null && program.lastSeenAt > program.deadline
        if (isLate && program.completedTurns < program.statistics.meanTurns) return
        program.statistics.recordTurns(program.completedTurns)
    }

    private companion object {
        /** Longer than a tool call between two turns, so that a program isn't counted as ended during one. */
        private val IDLE_LIMIT = 3.seconds

        /** A turn whose end was never reported is forgotten after this time. */
        private val RUNNING_LIMIT = 60.seconds
        private val RECENT = 2.seconds
        private const val MAX_REFUSED = 512
        private const val INITIAL_PROGRAMS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
