package org.chestnutloom.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import kotlin.random.Random

/** Operations on a small budget, run by Lincheck. */
class RetryBudgetOperations {
    private val budget = retryBudget(ratio = 0.5, maxRetries = 2)

    @Operation
    fun recordRequest() = budget.recordRequest()

    @Operation
    fun tryRetry(): Boolean = budget.tryRetry()
}

class RetryBudgetSpec :
    DescribeSpec({
        describe("a retry budget") {
            it("never allows more retries than its initial balance plus those earned by first attempts") {
                checkAll(Arb.list(Arb.boolean(), 0..200)) { steps ->
                    val budget = retryBudget(ratio = 0.1, maxRetries = 3)
                    val retries =
                        steps.count { isFirst ->
                            if (isFirst) false.also { budget.recordRequest() } else budget.tryRetry()
                        }
                    retries.toDouble() shouldBeLessThanOrEqualTo 3 + steps.count { it } * 0.1
                }
            }
            it("accumulates no more than its limit") {
                val budget = retryBudget(ratio = 1.0, maxRetries = 2)
                repeat(10) { budget.recordRequest() }
                List(3) { budget.tryRetry() } shouldBe listOf(true, true, false)
            }
            it("is linearizable under model checking") {
                ModelCheckingOptions()
                    .iterations(
                        20,
                    ).invocationsPerIteration(500)
                    .check(RetryBudgetOperations::class.java)
            }
        }

        describe("a backoff") {
            it("never exceeds its bound, which increases up to the maximum") {
                val backoff = Backoff()
                checkAll(Arb.int(1..100), Arb.int()) { failures, seed ->
                    backoff.delay(failures, Random(seed)) shouldBeLessThanOrEqualTo backoff.bound(failures)
                    backoff.bound(failures) shouldBeLessThanOrEqualTo backoff.max
                    backoff.bound(failures) shouldBeLessThanOrEqualTo backoff.bound(failures + 1)
                }
            }
        }
    })
