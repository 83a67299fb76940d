package org.chestnutloom.rate

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.time.manualClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenBucketSpec :
    DescribeSpec({
        describe("a token bucket") {
            val limit = RateLimit(ratePerSecond = 10.0, burst = 4)

            it("starts empty and accrues its share of the rate up to its share of the burst") {
                val clock = manualClock()
                val bucket = tokenBucket(clock, limit, 500)
                bucket.tryTake(REQUEST_MILLI_TOKENS) shouldBe false
                clock.advance(200.milliseconds)
                bucket.milliTokens shouldBe 1000
                clock.advance(10.seconds)
                bucket.milliTokens shouldBe 2000
            }

            it("counts lent tokens against the capacity until they can no longer be spent") {
                val clock = manualClock()
                val bucket = tokenBucket(clock, limit, 1000)
                clock.advance(10.seconds)
                bucket.lend(3000, 500.milliseconds) shouldBe 3000
                clock.advance(499.milliseconds)
                bucket.milliTokens shouldBe 1000
                clock.advance(101.milliseconds)
                bucket.milliTokens shouldBe 2000
            }

            it("drops tokens that exceed the capacity of a smaller share, and adds none for a larger one") {
                val clock = manualClock()
                val bucket = tokenBucket(clock, limit, 1000)
                clock.advance(10.seconds)
                bucket.resize(limit, 250)
                bucket.milliTokens shouldBe 1000
                bucket.resize(limit, 1000)
                bucket.milliTokens shouldBe 1000
            }

            it("returns the time until a request can be admitted, or null if it never can") {
                val clock = manualClock()
                tokenBucket(clock, limit, 500).timeUntil(1000) shouldBe 200.milliseconds
                tokenBucket(clock, limit, 100).timeUntil(1000) shouldBe null
            }
        }
    })
