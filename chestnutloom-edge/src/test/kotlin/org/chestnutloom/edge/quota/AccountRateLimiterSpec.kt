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

private fun TestScope.limiter(): AccountRateLimiter =
    AccountRateLimiter(AccountTokenBucket(LIMIT, startedAt = Duration.ZERO), VirtualClock(this))

/** Returns a limiter that has existed for long enough to reserve its full part of the burst for running programs. */
private suspend fun TestScope.establishedLimiter(): AccountRateLimiter = limiter().also { delay(5.seconds) }

/** The result of requests that were made at the same time. */
private data class Burst(
    val refusedAtOnce: Int,
    val admitted: Int,
)

/** Makes [size] requests at once while the whole burst is available. */
private suspend fun TestScope.burst(
    size: Int,
    maxWait: Duration,
): Burst {
    val limiter = limiter()
    delay(1.seconds)
    val calls = List(size) { async { limiter.acquire(maxWait) } }
    testScheduler.runCurrent()
    val refusedAtOnce = calls.count { it.isCompleted && !it.await() }
    return Burst(refusedAtOnce, admitted = calls.awaitAll().count { it })
}

class AccountRateLimiterSpec :
    DescribeSpec({
        describe("a program that issues many requests at once") {
            it("has all requests admitted that fit within the maximum wait") {
                runTest {
                    burst(20, maxWait = 600.milliseconds) shouldBe Burst(refusedAtOnce = 0, admitted = 20)
                    currentTime shouldBe 1_500
                }
            }

            it("has requests refused immediately whose wait would be too long") {
                runTest {
                    burst(20, maxWait = 200.milliseconds) shouldBe Burst(refusedAtOnce = 6, admitted = 14)
                }
            }

            it("counts all waiting requests, even more than the burst") {
                runTest {
                    burst(30, maxWait = 600.milliseconds) shouldBe Burst(refusedAtOnce = 8, admitted = 22)
                }
            }

            it("has waiting requests admitted in order of arrival") {
                runTest {
                    val limiter = limiter()
                    val admitted = ArrayList<Int>()
                    List(5) { async { if (limiter.acquire(maxWait = 1.seconds)) admitted += it } }.awaitAll()
                    admitted shouldBe listOf(0, 1, 2, 3, 4)
                }
            }
        }

        describe("an account that starts more programs than its rate allows") {
            it("starts none on the part of the burst that is reserved for running programs") {
                runTest {
                    val limiter = establishedLimiter()
                    List(8) { limiter.tryStart() }.count { it } shouldBe 5
                    limiter.acquire(maxWait = Duration.ZERO) shouldBe true
                }
            }

            it("starts none while requests of running programs wait") {
                runTest {
                    val limiter = limiter()
                    val waiting = async { limiter.acquire(maxWait = 1.seconds) }
                    testScheduler.runCurrent()
                    limiter.tryStart() shouldBe false
                    waiting.await() shouldBe true
                }
            }

            it("is told when the next program can start") {
                runTest {
                    val limiter = establishedLimiter()
                    repeat(10) { limiter.acquire(maxWait = Duration.ZERO) shouldBe true }
                    limiter.expectedWaitForStart() shouldBe 300.milliseconds
                    delay(limiter.expectedWaitForStart())
                    limiter.tryStart() shouldBe true
                }
            }
        }

        describe("a fleet that restarted as a whole with empty buckets") {
            it("starts programs before half of the burst has accumulated") {
                runTest {
                    val limiter = limiter()
                    delay(250.milliseconds)
                    List(8) { limiter.tryStart() }.count { it } shouldBe 4
                }
            }
        }

        describe("a request that no target ran") {
            it("returns its token for another request") {
                runTest {
                    val limiter = limiter()
                    delay(1.seconds)
                    repeat(10) { limiter.acquire(maxWait = Duration.ZERO) shouldBe true }
                    limiter.acquire(maxWait = Duration.ZERO) shouldBe false
                    limiter.bucket.refund()
                    limiter.acquire(maxWait = Duration.ZERO) shouldBe true
                }
            }
        }
    })
