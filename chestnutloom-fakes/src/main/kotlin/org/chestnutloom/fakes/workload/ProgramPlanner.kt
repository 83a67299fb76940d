package org.chestnutloom.fakes.workload

import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Generates the programs of a workload from a seed.
 *
 * Each account has its own random number generator, so a change of one account leaves the programs of the others
 * unchanged.
 */
internal class ProgramPlanner(
    private val workload: Workload,
    private val seed: Long,
) {
    /** Returns all programs in order of arrival. */
    fun plan(): List<ProgramPlan> = workload.accounts.flatMap(::planAccount).sortedBy(ProgramPlan::arrival)

    private fun planAccount(account: WorkloadAccount): List<ProgramPlan> {
        val random = SplittableRandom(seed * SEED_MULTIPLIER + account.name.hashCode())
        val rate = account.programsPerSecond * account.overload
        val until = workload.arrivalsMs.milliseconds
        return arrivals(random, rate)
            .takeWhile { it < until }
            .mapIndexed { index, arrival -> program(random, "${account.name}-$seed-$index", account.name, arrival) }
            .toList()
    }

    private fun arrivals(
        random: SplittableRandom,
        ratePerSecond: Double,
    ): Sequence<Duration> =
        generateSequence(interarrivalTime(random, ratePerSecond)) { it + interarrivalTime(random, ratePerSecond) }

    private fun interarrivalTime(
        random: SplittableRandom,
        ratePerSecond: Double,
    ): Duration = (-ln(1 - random.nextDouble()) / ratePerSecond).seconds

    private fun program(
        random: SplittableRandom,
        name: String,
        account: String,
        arrival: Duration,
    ): ProgramPlan {
        val shape = pickShape(random)
        val count = random.nextInt(shape.turnsMin, shape.turnsMax + 1)
        val turns = (1..count).map { turn(random, shape, name, account, it, mayStartSubAgent = true) }
        return ProgramPlan(name, account, arrival, prefixOf(shape), turns)
    }

    private fun subAgent(
        random: SplittableRandom,
        shape: ProgramShape,
        name: String,
        account: String,
    ): ProgramPlan {
        val turns = (1..SUB_AGENT_TURNS).map { turn(random, shape, name, account, it, mayStartSubAgent = false) }
        return ProgramPlan(name, account, Duration.ZERO, prefixOf(shape), turns)
    }

    private fun turn(
        random: SplittableRandom,
        shape: ProgramShape,
        program: String,
        account: String,
        number: Int,
        mayStartSubAgent: Boolean,
    ): TurnPlan {
        val isTool = number > 1 && random.nextDouble() < shape.toolShare
        val completionTokens = random.nextInt(shape.answerTokensMin, shape.answerTokensMax + 1)
        val streams = random.nextBoolean()
        val pause = pause(random, shape)
        val startsSubAgent = mayStartSubAgent && !isTool && random.nextDouble() < shape.subAgentShare
        val child = if (startsSubAgent) subAgent(random, shape, "$program-s$number", account) else null
        val message = "$program turn $number ".padEnd(shape.messageTokens * CHARACTERS_PER_TOKEN, 'm')
        return TurnPlan(message, completionTokens, isTool, streams, pause, child)
    }

    private fun pickShape(random: SplittableRandom): ProgramShape {
        var remaining = random.nextDouble() * workload.shapes.sumOf(ProgramShape::share)
        for (shape in workload.shapes) {
            remaining -= shape.share
            if (remaining < 0) return shape
        }
        return workload.shapes.last()
    }

    private fun pause(
        random: SplittableRandom,
        shape: ProgramShape,
    ): Duration {
        val scale = shape.pauseMedianMs / PARETO_MEDIAN_BASE.pow(1 / shape.pauseTail)
        val pauseMs = scale * (1 - random.nextDouble()).pow(-1 / shape.pauseTail)
        return pauseMs.coerceAtMost(shape.pauseMaxMs.toDouble()).milliseconds
    }

    private fun prefixOf(shape: ProgramShape): String =
        "${shape.name} ".padEnd(shape.sharedPrefixTokens * CHARACTERS_PER_TOKEN, 'p')

    private companion object {
        const val SEED_MULTIPLIER = 1_000_003L
        const val SUB_AGENT_TURNS = 2
        const val CHARACTERS_PER_TOKEN = 4
        const val PARETO_MEDIAN_BASE = 2.0
    }
}
