package org.chestnutloom.edge.target

import arrow.core.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.call.Refusal
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.edge.http.HttpConnector
import org.chestnutloom.id.TargetId
import org.chestnutloom.route.RoutingPolicyKind
import org.chestnutloom.route.routingPolicy
import org.chestnutloom.wire.link.PeerAddress
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SERVICE = "models"
private const val ENGINES = 7
private const val SLOTS = 24
private const val TURNS = 4
private const val PROGRAMS = 900
private const val PROGRAMS_PER_SECOND = 80.0
private const val START_TRIES = 6
private val TURN_ON_IDLE_ENGINE = 300.milliseconds
private val PAUSE = 60.milliseconds
private val OBJECTIVE = 250.milliseconds
private val CALLER_TIMEOUT = 4.seconds
private val PROGRAM_AIM = (TURN_ON_IDLE_ENGINE * TURNS + PAUSE * (TURNS - 1)) * 1.6 + 250.milliseconds

/** Programs of [TURNS] turns that come faster than [ENGINES] engines can serve them in time, in virtual time. */
private class OverloadedFleet(
    private val test: TestScope,
    loop: EdgeLoop,
    private val startWait: Duration,
    seed: Int,
) {
    private val random = Random(seed)
    private val clock = VirtualClock(test)
    private val connector = HttpConnector(loop, clock, connectTimeout = 1.seconds)
    private val directory = TargetDirectory(TargetFactory(connector, clock, test)) { 100_000L }
    private val policy = routingPolicy(RoutingPolicyKind.COST, Random(seed))
    private val scheduler = TargetScheduler(directory, policy, "siracusa", clock)

    init {
        repeat(ENGINES) { list("i-$it") }
    }

    private fun list(id: String) {
        val address = PeerAddress("127.0.0.1", 9)
        directory.update(TargetEntry(TargetId(id), 1, SERVICE, address, "siracusa", SLOTS, TargetStage.READY))
    }

    /** Returns the part of all programs that ended in time. */
    suspend fun partInTime(): Double {
        val programs =
            List(PROGRAMS) {
                delay((-ln(random.nextDouble()) / PROGRAMS_PER_SECOND).seconds)
                test.async { program() }
            }
        return programs.awaitAll().count { it }.toDouble() / PROGRAMS
    }

    private suspend fun program(): Boolean {
        val startedAt = test.currentTime
        if (!start()) return false
        repeat(TURNS - 1) {
            delay(PAUSE)
            if (turn(startsProgram = false, CALLER_TIMEOUT) != null) return false
        }
        return (test.currentTime - startedAt).milliseconds <= PROGRAM_AIM
    }

    /** Callers come back when they are told to, and send a turn that failed again after a moment. */
    private suspend fun start(): Boolean {
        repeat(START_TRIES) { tries ->
            val refusal = turn(startsProgram = true, startWait) ?: return true
            val isRepeat = tries % 2 == 0
            delay(if (isRepeat) (refusal.retryAfterMs ?: 0).milliseconds else random.nextInt(100, 400).milliseconds)
        }
        return false
    }

    private suspend fun turn(
        startsProgram: Boolean,
        longestWait: Duration,
    ): Refusal? {
        val waitUntil = clock.elapsed() + longestWait
        val needs =
            TargetRequirements(SERVICE, rank = 0, emptyList(), isModelCall = true, startsProgram, waitUntil, emptySet())
        val target = scheduler.acquire(needs).getOrElse { return it }
        delay(TURN_ON_IDLE_ENGINE * (SLOWDOWN_AT_FOUR + SLOWDOWN_EACH * target.load))
        scheduler.release(target)
        return null
    }

    private companion object {
        /** An engine's turns are as fast as on an idle one while four run, and slower with each further one. */
        private const val SLOWDOWN_AT_FOUR = 0.8
        private const val SLOWDOWN_EACH = 0.05
    }
}

class ProgramAdmissionUnderOverloadSpec :
    DescribeSpec({
        val loop = EdgeLoop()

        afterSpec { loop.close() }

        suspend fun partInTime(startWait: Duration): Double =
            (1..3)
                .map { seed ->
                    var part = 0.0
                    runTest { part = OverloadedFleet(this, loop, startWait, seed).partInTime() }
                    part
                }.average()

        describe("the pattern of more programs than the engines can serve in time") {
            it("has more of them in time when one that cannot start is told so at once, than when it waits") {
                val whenTold = partInTime(startWait = OBJECTIVE / 4)
                val whenWaiting = partInTime(startWait = CALLER_TIMEOUT / 8)
                whenTold shouldBeGreaterThan whenWaiting
            }
        }
    })
