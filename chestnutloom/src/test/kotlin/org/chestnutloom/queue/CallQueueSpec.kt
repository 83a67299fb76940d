package org.chestnutloom.queue

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallQueueSpec :
    DescribeSpec({
        fun call(
            id: String,
            account: String = "a",
            weight: Int = 1,
            costTokens: Long = 100,
            programServiceMs: Long = 0,
            arrivedAt: Duration = Duration.ZERO,
        ) = QueuedCall(
            CallId(id),
            ClientAccountId(account),
            weight,
            costTokens,
            programServiceMs,
            arrivedAt,
        )

        fun CallQueue.drain(now: Duration = Duration.ZERO): List<String> =
            generateSequence { poll(now) }.onEach { complete(it, it.costTokens) }.map { it.id.value }.toList()

        listOf("fair" to { fairQueue() }, "fifo" to { fifoQueue() }).forEach { (name, create) ->
            describe("the $name queue") {
                it("returns each added call exactly once, unless it was removed") {
                    checkAll(Arb.list(Arb.int(0..3), 0..40), Arb.int(0..40)) { accounts, removed ->
                        val queue = create()
                        val ids = accounts.mapIndexed { index, account -> "c$index" to "account$account" }
                        ids.forEach { (id, account) -> queue.add(call(id, account)) }
                        val removedId = queue.remove(CallId("c$removed"))?.id?.value
                        queue.queuedTokens shouldBe queue.size * 100L
                        queue.drain() shouldContainExactlyInAnyOrder ids.map { it.first }.filter { it != removedId }
                        queue.size shouldBe 0
                        queue.queuedTokens shouldBe 0
                    }
                }
            }
        }

        describe("the fair queue across accounts") {
            it("does not let a burst of one account delay another") {
                val queue = fairQueue()
                repeat(50) { queue.add(call("large$it", "large")) }
                repeat(3) { queue.add(call("small$it", "small")) }
                queue.drain().take(6).count { it.startsWith("small") } shouldBe 3
            }
            it("shares tokens by weight as long as both accounts wait") {
                checkAll(Arb.int(1..5), Arb.int(1..5)) { weightA, weightB ->
                    val queue = fairQueue()
                    repeat(60) { queue.add(call("a$it", "a", weightA)) }
                    repeat(60) { queue.add(call("b$it", "b", weightB)) }
                    val served = queue.drain().take(60)
                    val servedA = served.count { it.startsWith("a") }
                    val fairA = 60.0 * weightA / (weightA + weightB)
                    abs(servedA - fairA) shouldBeLessThanOrEqualTo 2.0
                }
            }
            it("starts a newly active account at the level of the least served one") {
                val queue = fairQueue()
                repeat(20) { queue.add(call("old$it", "old")) }
                repeat(10) { queue.poll(Duration.ZERO) }
                repeat(10) { queue.add(call("new$it", "new")) }
                val next = List(10) { queue.poll(Duration.ZERO)?.account?.value }
                next.count { it == "new" } shouldBe 5
            }
            it("remembers the service of an account that is briefly idle") {
                val queue = fairQueue()
                repeat(5) { queue.add(call("b$it", "b")) }
                queue.add(call("a0", "a", costTokens = 1_000))
                List(2) { queue.poll(Duration.ZERO)?.id?.value } shouldContainExactly listOf("b0", "a0")
                queue.complete(call("a0", "a", costTokens = 1_000), usedTokens = 1_000)
                queue.add(call("a1", "a"))
                queue.drain() shouldContainExactly listOf("b1", "b2", "b3", "b4", "a1")
            }
            it("charges the actual cost of a call rather than its estimate") {
                val queue = fairQueue()
                queue.add(call("a0", "a"))
                queue.add(call("a1", "a"))
                queue.add(call("b0", "b"))
                queue.add(call("b1", "b"))
                val first = queue.poll(Duration.ZERO)
                first?.id shouldBe CallId("a0")
                first?.let { queue.complete(it, usedTokens = 1_000) }
                List(2) { queue.poll(Duration.ZERO)?.id?.value } shouldContainExactly listOf("b0", "b1")
            }
            it("estimates fewer tokens ahead of a small account than of an overloading one") {
                val queue = fairQueue()
                repeat(50) { queue.add(call("large$it", "large")) }
                queue.tokensAhead(call("x", "large", programServiceMs = 1)) shouldBe 5_000
                queue.tokensAhead(call("x", "small")) shouldBe 0
            }
        }

        describe("the fair queue within an account") {
            it("prefers the program that received the least service") {
                val queue = fairQueue()
                queue.add(call("long", programServiceMs = 9_000))
                queue.add(call("short", programServiceMs = 10, arrivedAt = 1.milliseconds))
                queue.drain(now = 2.milliseconds) shouldContainExactly listOf("short", "long")
            }
            it("starts a starved call before higher-priority calls of its account") {
                val queue = fairQueue(starvationBound = 5.seconds)
                queue.add(call("long", programServiceMs = 9_000))
                queue.add(call("short", programServiceMs = 10, arrivedAt = 5.seconds))
                queue.drain(now = 6.seconds) shouldContainExactly listOf("long", "short")
            }
        }

        describe("the wait estimator") {
            it("estimates no wait while capacity is free") {
                val estimator = WaitEstimator()
                estimator.record(100, 1.seconds)
                estimator.expectedWait(tokensAhead = 0, running = 3, maxRunning = 4) shouldBe Duration.ZERO
            }
            it("estimates the wait from the recent service time") {
                val estimator = WaitEstimator()
                repeat(10) { estimator.record(100, 2.seconds) }
                estimator.expectedWait(tokensAhead = 700, running = 4, maxRunning = 4) shouldBe 4.seconds
            }
        }
    })
