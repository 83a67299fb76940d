package org.chestnutloom.rate

import io.kotest.core.spec.style.DescribeSpec
import org.chestnutloom.time.manualClock
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import org.jetbrains.lincheck.datastructures.forClasses
import kotlin.time.Duration.Companion.seconds

/** Operations on a small bucket, run by Lincheck. */
class TokenBucketOperations {
    private val clock = manualClock()
    private val bucket =
        tokenBucket(clock, RateLimit(10.0, 3), 1000).also { it.add(3000) }

    @Operation
    fun tryTake(): Boolean = bucket.tryTake(1000)

    @Operation
    fun takeUpTo(): Long = bucket.takeUpTo(1500)

    @Operation
    fun lend(): Long = bucket.lend(2000, 1.seconds)

    @Operation
    fun add() = bucket.add(1000)

    @Operation
    fun halve() = bucket.resize(RateLimit(10.0, 3), 500)
}

class TokenBucketLincheckTest :
    DescribeSpec({
        describe("a token bucket used by multiple threads") {
            it("is linearizable under stress") {
                StressOptions()
                    .iterations(20)
                    .invocationsPerIteration(1000)
                    .check(TokenBucketOperations::class)
            }

            it("is linearizable under model checking") {
                // BucketState is immutable and shared through one atomic reference, so its methods count as atomic.
                ModelCheckingOptions()
                    .addGuarantee(forClasses(BucketState::class).allMethods().treatAsAtomic())
                    .iterations(20)
                    .invocationsPerIteration(500)
                    .check(TokenBucketOperations::class)
            }
        }
    })
