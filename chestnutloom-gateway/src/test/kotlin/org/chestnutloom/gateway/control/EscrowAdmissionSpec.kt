package org.chestnutloom.gateway.control

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val account = ClientAccountId("ward-9")
private const val RATE_PER_SECOND = 20.0
private const val BURST = 10

private fun withLimitedFleet(body: suspend TestScope.(TestFleet) -> Unit) =
    runTest {
        val fleet = TestFleet(this)
        fleet.accept("ward-9=$RATE_PER_SECOND/$BURST")
        withTimeout(10.minutes) { body(fleet) }
    }

private suspend fun TestFleet.startReady(
    id: String,
    incarnation: String = "1",
    mechanisms: Mechanisms = Mechanisms.ALL,
) = start(id, incarnation, mechanisms).also { gateway ->
    eventually {
        gateway.plane.isReady &&
            gateway.plane.proof
                .check()
                .isRight()
    }
}

private suspend fun admitAfter(
    gateway: TestGateway,
    wait: Duration,
): Boolean {
    delay(wait)
    return gateway.plane.admission
        .admit(account)
        .isRight()
}

/** Sends requests to randomly chosen running gateways, and returns how many were refused with `rate_limited`. */
private suspend fun TestScope.send(
    fleet: TestFleet,
    reference: ReferenceBucket,
    random: Random,
    perSecond: Double,
    duration: Duration,
): Int {
    var refused = 0
    val until = currentTime + duration.inWholeMilliseconds
    while (currentTime < until) {
        val gateway =
            fleet.gateways.values
                .filter { it.isRunning }
                .random(random)
        launch {
            gateway.plane.admission.admit(account).fold(
                { if (it.code == RefusalCode.RATE_LIMITED) refused += 1 },
                { reference.admit() },
            )
        }
        delay((1000 / perSecond).toLong().milliseconds)
    }
    delay(1.seconds)
    return refused
}

class EscrowAdmissionSpec :
    DescribeSpec({
        describe("admission over the whole fleet") {
            it("refuses no request of an account within its rate") {
                withLimitedFleet { fleet ->
                    listOf("a", "b", "c").forEach { fleet.startReady(it) }
                    val reference = ReferenceBucket(this, RATE_PER_SECOND, BURST)
                    send(fleet, reference, Random(1), perSecond = 18.0, duration = 60.seconds) shouldBe 0
                    reference.excess shouldBe 0
                }
            }

            it("admits requests within the rate that arrive while the gateway borrows tokens from another one") {
                withLimitedFleet { fleet ->
                    val first = fleet.startReady("g1")
                    val second = fleet.startReady("g2")
                    first.plane.admission.admit(account)
                    val requests = List(BURST - 2) { index -> async { admitAfter(second, index.milliseconds) } }
                    requests.awaitAll().count { it } shouldBe BURST - 2
                }
            }

            it("admits no more than rate and burst while gateways crash or are partitioned and the store fails") {
                for (seed in 1..8) {
                    withLimitedFleet { fleet ->
                        val random = Random(seed)
                        val ids = listOf("a", "b", "c")
                        ids.forEach { fleet.startReady(it) }
                        val reference = ReferenceBucket(this, RATE_PER_SECOND, BURST)
                        val faults = launch { injectFaults(fleet, ids, random) }
                        send(fleet, reference, random, perSecond = 100.0, duration = 60.seconds)
                        faults.cancel()
                        withClue("seed $seed") {
                            reference.excess shouldBe 0
                            reference.admitted shouldBeGreaterThan 100
                        }
                        println("seed $seed: ${reference.admitted} admitted of at most ${BURST + RATE_PER_SECOND * 61}")
                    }
                }
            }

            it("admits more than rate and burst without escrow") {
                withLimitedFleet { fleet ->
                    val withoutEscrow = Mechanisms.without(setOf(Mechanism.RATE_ESCROW))
                    listOf("a", "b", "c").forEach { fleet.startReady(it, mechanisms = withoutEscrow) }
                    val reference = ReferenceBucket(this, RATE_PER_SECOND, BURST)
                    send(fleet, reference, Random(1), perSecond = 100.0, duration = 10.seconds)
                    reference.excess shouldBeGreaterThan 100
                }
            }

            it("borrows tokens during a store outage and moves shares to the gateway that receives the requests") {
                withLimitedFleet { fleet ->
                    val first = fleet.startReady("a")
                    val second = fleet.startReady("b")
                    delay(3.seconds)
                    repeat(BURST) {
                        first.plane.admission
                            .admit(account)
                            .isRight() shouldBe true
                    }
                    delay(1.seconds)
                    fleet.table.isDown = true
                    repeat(BURST) {
                        second.plane.admission
                            .admit(account)
                            .isRight() shouldBe true
                    }
                    fleet.table.isDown = false
                    var refused = 0
                    repeat(100) {
                        delay(60.milliseconds)
                        second.plane.admission
                            .admit(account)
                            .onLeft { refused += 1 }
                    }
                    refused shouldBeLessThanOrEqual 2
                    first.isUnresponsive = true
                    delay(2.seconds)
                    second.plane.admission
                        .admit(account)
                        .isRight() shouldBe true
                }
            }

            it("spends no tokens in a gateway that is partitioned from the store for longer than its lease") {
                withLimitedFleet { fleet ->
                    val partitioned = fleet.startReady("a")
                    fleet.startReady("b")
                    partitioned.plane.admission
                        .admit(account)
                        .isRight() shouldBe true
                    partitioned.table.isPartitioned = true
                    delay(6.seconds)
                    partitioned.plane.admission
                        .admit(account)
                        .leftOrNull()
                        ?.code shouldBe RefusalCode.GATEWAY_STALE
                }
            }
        }
    })

/** Injects random faults one at a time: crashes and restarts gateways, partitions them, and fails the store. */
private suspend fun injectFaults(
    fleet: TestFleet,
    ids: List<String>,
    random: Random,
) {
    var run = 1
    while (true) {
        delay(random.nextInt(200, 3000).milliseconds)
        val gateway = fleet.gateways.getValue(ids.random(random))
        when (random.nextInt(6)) {
            0 -> {
                gateway.kill()
                delay(random.nextInt(1000, 8000).milliseconds)
                run += 1
                fleet.start(gateway.id, "$run")
            }

            1 -> {
                gateway.table.isPartitioned = true
                delay(random.nextInt(500, 8000).milliseconds)
                gateway.table.isPartitioned = false
            }

            2 -> {
                fleet.table.isDown = true
                delay(random.nextInt(500, 10_000).milliseconds)
                fleet.table.isDown = false
            }

            3 -> {
                fleet.table.repliesToLose = random.nextInt(1, 4)
            }

            4 -> {
                fleet.table.requestsToHold = random.nextInt(1, 3)
                delay(random.nextInt(50, 2000).milliseconds)
                fleet.table.releaseHeld()
            }

            else -> {
                gateway.isUnresponsive = true
                delay(random.nextInt(100, 3000).milliseconds)
                gateway.isUnresponsive = false
            }
        }
    }
}
