package org.chestnutloom.edge.quota

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.chestnutloom.edge.VirtualClock
import org.chestnutloom.rate.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val LIMIT = RateLimit(ratePerSecond = 20.0, burst = 10)

private fun TestScope.gate(): AccountRateLimiter =
    AccountRateLimiter(AccountTokenBucket(LIMIT, startedAt = Duration.ZERO), VirtualClock(this))

/** Returns a gate that has been there for so long that it keeps a part of the burst for the programs under way. */
private suspend fun TestScope.agedGate(): AccountRateLimiter = gate().also { delay(5.seconds) }

/** What came of requests that were made at one moment. */
private data class Burst(
    val refusedAtOnce: Int,
    val admitted: Int,
)

/** Makes [size] requests at once while the whole burst is left. */
private suspend fun TestScope.burst(
    size: Int,
    maxWait: Duration,
): Burst {
    val gate = gate()
    delay(1.seconds)
    val calls = List(size) { async { gate.acquire(maxWait) } }
    testScheduler.runCurrent()
    val refusedAtOnce = calls.count { it.isCompleted && !it.await() }
    return Burst(refusedAtOnce, admitted = calls.awaitAll().count { it })
}

class AccountRateLimiterSpec :
    DescribeSpec({
        describe("the pattern of a program that asks for many calls at once") {
            it("lets all through that can be admitted soon") {
                runTest {
                    burst(20, maxWait = 600.milliseconds) shouldBe Burst(refusedAtOnce = 0, admitted = 20)
                    currentTime shouldBe 1_500
                }
            }

            it("refuses at once what would have to wait for too long") {
                runTest {
                    burst(20, maxWait = 200.milliseconds) shouldBe Burst(refusedAtOnce = 6, admitted = 14)
                }
            }

            it("counts all that wait already, also when they are more than the burst") {
                runTest {
                    burst(30, maxWait = 600.milliseconds) shouldBe Burst(refusedAtOnce = 8, admitted = 22)
                }
            }

            it("lets those that wait through in the order of their arrival") {
                runTest {
                    val gate = gate()
                    val passed = ArrayList<Int>()
                    List(5) { async { if (gate.acquire(maxWait = 1.seconds)) passed += it } }.awaitAll()
                    passed shouldBe listOf(0, 1, 2, 3, 4)
                }
            }
        }

        describe("the pattern of an account that begins more programs than its rate allows") {
            it("starts none on the part of the burst that the programs under way need") {
                runTest {
                    val gate = agedGate()
                    List(8) { gate.tryAcquireStart() }.count { it } shouldBe 5
                    gate.acquire(maxWait = Duration.ZERO) shouldBe true
                }
            }

            it("starts none while requests of programs under way wait") {
                runTest {
                    val gate = gate()
                    val waiting = async { gate.acquire(maxWait = 1.seconds) }
                    testScheduler.runCurrent()
                    gate.tryAcquireStart() shouldBe false
                    waiting.await() shouldBe true
                }
            }

            it("says when the next one can start") {
                runTest {
                    val gate = agedGate()
                    repeat(10) { gate.acquire(maxWait = Duration.ZERO) shouldBe true }
                    gate.expectedWaitForStart() shouldBe 300.milliseconds
                    delay(gate.expectedWaitForStart())
                    gate.tryAcquireStart() shouldBe true
                }
            }
        }

        describe("the pattern of a fleet that was lost as a whole and is back with empty accounts") {
            it("starts programs before half of the burst has come together") {
                runTest {
                    val gate = gate()
                    delay(250.milliseconds)
                    List(8) { gate.tryAcquireStart() }.count { it } shouldBe 4
                }
            }
        }

        describe("a request that no target ran") {
            it("leaves its place to another one") {
                runTest {
                    val gate = gate()
                    delay(1.seconds)
                    repeat(10) { gate.acquire(maxWait = Duration.ZERO) shouldBe true }
                    gate.acquire(maxWait = Duration.ZERO) shouldBe false
                    gate.meter.refund()
                    gate.acquire(maxWait = Duration.ZERO) shouldBe true
                }
            }
        }
    })
