package org.chestnutloom.dedup

import io.kotest.core.spec.style.DescribeSpec
import org.chestnutloom.id.CallId
import org.chestnutloom.time.manualClock
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions

/** Operations on two ids with two attempts each, run by Lincheck. */
@Param(name = "id", gen = IntGen::class, conf = "1:2")
@Param(name = "attempt", gen = IntGen::class, conf = "1:2")
class DeduplicationTableOperations {
    private val table = deduplicationTable<Int>(manualClock(), maxIds = 10)

    @Operation
    fun claim(
        @Param(name = "id") id: Int,
        @Param(name = "attempt") attempt: Int,
    ): String = table.claim(callId(id), attempt) { attempt }.toString()

    @Operation
    fun start(
        @Param(name = "id") id: Int,
        @Param(name = "attempt") attempt: Int,
    ): Boolean = table.start(callId(id), attempt)

    @Operation
    fun end(
        @Param(name = "id") id: Int,
        @Param(name = "attempt") attempt: Int,
    ): Boolean = table.end(callId(id), attempt, isRetryable = true)

    @Operation
    fun fence(
        @Param(name = "id") id: Int,
    ): String = table.fence(callId(id), includeQueued = true).toString()

    @Operation
    fun forget(
        @Param(name = "id") id: Int,
    ): String = table.forget(callId(id)).toString()

    private fun callId(id: Int): CallId = CallId("p$id/1")
}

class DeduplicationTableLincheckSpec :
    DescribeSpec({
        describe("the deduplication table") {
            it("is linearizable under model checking") {
                ModelCheckingOptions()
                    .iterations(MODEL_CHECKING_ITERATIONS)
                    .invocationsPerIteration(INVOCATIONS)
                    .check(DeduplicationTableOperations::class.java)
            }
            it("is linearizable under stress") {
                StressOptions()
                    .iterations(STRESS_ITERATIONS)
                    .invocationsPerIteration(INVOCATIONS)
                    .check(DeduplicationTableOperations::class.java)
            }
        }
    })

private const val MODEL_CHECKING_ITERATIONS = 5
private const val STRESS_ITERATIONS = 10
private const val INVOCATIONS = 200
