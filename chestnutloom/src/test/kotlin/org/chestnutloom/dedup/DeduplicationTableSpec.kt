package org.chestnutloom.dedup

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.chestnutloom.id.CallId
import org.chestnutloom.time.manualClock
import kotlin.time.Duration.Companion.seconds

class DeduplicationTableSpec :
    DescribeSpec({
        val id = CallId("p1/1")
        val clock = manualClock()

        fun table(maxIds: Int = 10): DeduplicationTable<String> = deduplicationTable(clock, maxIds)

        fun DeduplicationTable<String>.run(
            attempt: Int,
            isRetryable: Boolean,
        ) {
            claim(id, attempt) { "run $attempt" }
            start(id, attempt) shouldBe true
            end(id, attempt, isRetryable) shouldBe true
        }

        describe("a claim") {
            it("is acquired once, and duplicates get the value of the first claim") {
                val table = table()
                table.claim(id, 1) { "a" } shouldBe Claim.Acquired("a")
                table.claim(id, 1) { "b" } shouldBe Claim.Duplicate("a")
                table.claim(id, 2) { "c" } shouldBe Claim.Duplicate("a")
            }
            it("never succeeds again after a run that is not retryable") {
                val table = table()
                table.run(1, isRetryable = false)
                table.claim(id, 2) { "b" } shouldBe Claim.Duplicate("run 1")
                table.forget(id) shouldBe "run 1"
                table.claim(id, 3) { "c" } shouldBe Claim.Forgotten
            }
            it("succeeds for a higher attempt after a retryable run, but not for a late duplicate") {
                val table = table()
                table.run(1, isRetryable = true)
                table.claim(id, 1) { "late" } shouldBe Claim.Duplicate("run 1")
                table.claim(id, 2) { "b" } shouldBe Claim.Acquired("b", replaced = "run 1")
            }
            it("is rejected when the table is full, unless the id is known") {
                val table = table(maxIds = 1)
                table.claim(id, 1) { "a" }
                table.claim(CallId("p2/1"), 1) { "b" } shouldBe Claim.TableFull
                table.claim(id, 1) { "c" } shouldBe Claim.Duplicate("a")
            }
        }

        describe("a fence") {
            it("refuses an unknown id for all attempts") {
                val table = table()
                table.fence(id, includeQueued = false).state shouldBe RunState.NOT_RUN
                table.claim(id, 7) { "a" } shouldBe Claim.Fenced
            }
            it("prevents a queued call from starting if includeQueued is set") {
                val table = table()
                table.claim(id, 1) { "a" }
                table.fence(id, includeQueued = false) shouldBe RunStatus(RunState.QUEUED, "a")
                table.fence(id, includeQueued = true) shouldBe RunStatus(RunState.NOT_RUN, "a")
                table.start(id, 1) shouldBe false
            }
            it("does not affect a running call") {
                val table = table()
                table.claim(id, 1) { "a" }
                table.start(id, 1)
                table.fence(id, includeQueued = true) shouldBe RunStatus(RunState.RUNNING, "a")
            }
        }

        describe("a call marked as not run") {
            it("is refused to duplicates, but can be claimed by a higher attempt") {
                val table = table()
                table.claim(id, 1) { "a" }
                table.markNotRun(id, 1) shouldBe true
                table.claim(id, 1) { "late" } shouldBe Claim.Fenced
                table.claim(id, 2) { "b" } shouldBe Claim.Acquired("b")
            }
        }

        describe("expiry") {
            it("drops values before ids, and never drops queued or running calls") {
                val table = table()
                table.run(1, isRetryable = false)
                table.claim(CallId("p2/1"), 1) { "open" }
                clock.advance(10.seconds)
                table.expireValues(clock.elapsed()) shouldContainExactly listOf("run 1")
                table.claim(id, 1) { "b" } shouldBe Claim.Forgotten
                table.expireIds(clock.elapsed())
                table.size shouldBe 1
                table.claim(id, 1) { "c" } shouldBe Claim.Acquired("c")
            }
        }
    })
