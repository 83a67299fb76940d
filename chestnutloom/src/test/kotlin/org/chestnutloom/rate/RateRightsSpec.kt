package org.chestnutloom.rate

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.Incarnation
import org.chestnutloom.time.manualClock
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val RUNS = 300
private const val STEPS = 400

class RateRightsSpec :
    DescribeSpec({
        describe("rate rights") {
            it("never admit more than burst and rate allow in any window, for any interleaving") {
                var admitted = 0
                for (seed in 1..RUNS) {
                    val random = Random(seed)
                    val limit = RateLimit(random.nextDouble(0.5, 40.0), random.nextInt(1, 30))
                    val simulation = RightsSimulation(random, limit)
                    repeat(STEPS) { simulation.step() }
                    withClue("seed $seed, $limit") { simulation.excess shouldBe 0 }
                    admitted += simulation.admitted
                }
                println("seeds 1..$RUNS: $admitted admissions, none above the limit")
                admitted shouldBeGreaterThan RUNS
            }

            it("grant the whole burst to the first claimer only") {
                val clock = manualClock()
                val limit = RateLimit(1.0, 5)
                val holders = (1..2).map { RightsHolder(GatewayId("g$it"), Incarnation("1")) }
                val first = RightsRecord.unused(limit).claimedBy(holders[0], limit) { false }
                val held = heldRights(clock, holders[0], limit).also { it.apply(first, 1) }
                held.milliTokens shouldBe 5000
                val second = first.claimedBy(holders[1], limit) { true }
                heldRights(clock, holders[1], limit).also { it.apply(second, 2) }.milliTokens shouldBe 0
                second.unassignedPermille shouldBe 0
            }

            it("keep a share whose capacity is taken up by lent tokens") {
                val limit = RateLimit(1.0, 10)
                val holder = RightsHolder(GatewayId("g1"), Incarnation("1"))
                val held = heldRights(manualClock(), holder, limit)
                held.apply(RightsRecord.unused(limit).claimedBy(holder, limit) { false }, 1)
                held.lend(6000, 1.seconds) shouldBe 6000
                held.beginTransfer(500) shouldBe null
                held.beginTransfer(400) shouldBe PendingTransfer(400, 1600)
            }

            it("transfer tokens with a share exactly once") {
                val clock = manualClock()
                val limit = RateLimit(1.0, 10)
                val (giver, receiver) = (1..2).map { RightsHolder(GatewayId("g$it"), Incarnation("1")) }
                val claimed = RightsRecord.unused(limit).claimedBy(giver, limit) { false }
                val from = heldRights(clock, giver, limit).also { it.apply(claimed, 1) }
                val transfer = checkNotNull(from.beginTransfer(400))
                val moved = claimed.moved(giver, receiver, transfer.sharePermille, transfer.milliTokens)
                val to = heldRights(clock, receiver, limit)
                repeat(2) { to.apply(moved, 2) }
                to.apply(moved, 3)
                from.milliTokens shouldBe 6000
                to.milliTokens shouldBe 4000
            }
        }
    })
