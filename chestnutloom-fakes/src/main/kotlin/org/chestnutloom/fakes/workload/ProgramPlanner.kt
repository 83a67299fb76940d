package org.chestnutloom.fakes.workload

import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Draws the programs of a workload from a seed.
 *
 * Each account has its own random numbers, so one that sends more changes nothing about the others.
 */
internal class ProgramPlanner(
    private val workload: Workload,
    private val seed: Long,
) {
    /** Returns all programs in the order of their arrival. */
    fun plan(): List<ProgramPlan> = workload.accounts.flatMap(::planAccount).sortedBy(ProgramPlan::arrival)

    private fun planAccount(account: WorkloadAccount): List<ProgramPlan> {
        val random = SplittableRandom(seed * SEED_SPREAD + account.name.hashCode())
        val rate = account.programsPerSecond * account.overload
        val until = workload.arrivalsMs.milliseconds
        return arrivals(random, rate)
            .takeWhile { it < until }
            .mapIndexed { index, arrival -> program(random, "${account.name}-$seed-$index", account.name, arrival) }
            .toList()
    }

    private fun arrivals(
        random: SplittableRandom,
        perSecond: Double,
    ): Sequence<Duration> = generateSequence(gap(random, perSecond)) { it + gap(random, perSecond) }

    private fun gap(
        random: SplittableRandom,
        perSecond: Double,
    ): Duration = (-ln(1 - random.nextDouble()) / perSecond).seconds

    private fun program(
        random: SplittableRandom,
        name: String,
        account: String,
        arrival: Duration,
    ): ProgramPlan {
        val shape = pickShape(random)
        val count = random.nextInt(shape.turnsMin, shape.turnsMax + 1)
        val turns = (1..count).map { turn(random, shape, name, account, it, mayBranch = true) }
        return ProgramPlan(name, account, arrival, prefixOf(shape), turns)
    }

    private fun subAgent(
        random: SplittableRandom,
        shape: ProgramShape,
        name: String,
        account: String,
    ): ProgramPlan {
        val turns = (1..SUB_AGENT_TURNS).map { turn(random, shape, name, account, it, mayBranch = false) }
        return ProgramPlan(name, account, Duration.ZERO, prefixOf(shape), turns)
    }

    private fun turn(
        random: SplittableRandom,
        shape: ProgramShape,
        program: String,
        account: String,
        number: Int,
        mayBranch: Boolean,
    ): TurnPlan {
        val isTool = number > 1 && random.nextDouble() < shape.toolShare
        val answerTokens = random.nextInt(shape.answerTokensMin, shape.answerTokensMax + 1)
        val streams = random.nextBoolean()
        val pause = pause(random, shape)
        val branches = mayBranch && !isTool && random.nextDouble() < shape.subAgentShare
        val child = if (branches) subAgent(random, shape, "$program-s$number", account) else null
        val message = "$program turn $number ".padEnd(shape.messageTokens * CHARACTERS_PER_TOKEN, 'm')
        return TurnPlan(message, answerTokens, isTool, streams, pause, child)
    }

    private fun pickShape(random: SplittableRandom): ProgramShape {
        var left = random.nextDouble() * workload.shapes.sumOf(ProgramShape::share)
        for (shape in workload.shapes) {
            left -= shape.share
            if (left < 0) return shape
        }
        return workload.shapes.last()
    }

    private fun pause(
        random: SplittableRandom,
        shape: ProgramShape,
    ): Duration {
        val scale = shape.pauseMedianMs / MEDIAN_SPREAD.pow(1 / shape.pauseTail)
        val pauseMs = scale * (1 - random.nextDouble()).pow(-1 / shape.pauseTail)
        return pauseMs.coerceAtMost(shape.pauseMaxMs.toDouble()).milliseconds
    }

    private fun prefixOf(shape: ProgramShape): String =
        "${shape.name} ".padEnd(shape.sharedPrefixTokens * CHARACTERS_PER_TOKEN, 'p')

    private companion object {
        const val SEED_SPREAD = 1_000_003L
        const val SUB_AGENT_TURNS = 2
        const val CHARACTERS_PER_TOKEN = 4
        const val MEDIAN_SPREAD = 2.0
    }
}
