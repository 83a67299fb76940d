package org.chestnutloom.route

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.id.TargetId
import kotlin.random.Random

internal class RoutingPolicySpec :
    DescribeSpec({
        fun target(
            id: String,
            domain: String = "a",
            waitMs: Long = 0,
            inFlight: Int = 0,
            cached: Long = 0,
            sent: Int = 0,
        ) = TargetView(TargetId(id), domain, waitMs, inFlight, 4, sent, 0, 1_000.0, cached)

        val query = RouteQuery(promptTokens = 1_000, failureDomain = "a")
        val cost = routingPolicy(RoutingPolicyKind.COST, Random(1))

        fun chosen(
            policy: RoutingPolicy,
            vararg targets: TargetView,
        ) = policy.choose(query, targets.asList())?.id?.value

        describe("the cost policy") {
            it("prefers the target with the cache until its wait exceeds the recomputation time") {
                chosen(cost, target("cached", cached = 1_000, waitMs = 900), target("idle")) shouldBe "cached"
                chosen(cost, target("cached", cached = 1_000, waitMs = 1_200), target("idle")) shouldBe "idle"
            }

            it("counts calls sent since the last report") {
                chosen(cost, target("busy", inFlight = 2, sent = 8), target("idle", inFlight = 3)) shouldBe "idle"
            }

            it("prefers the gateway's failure domain among nearly equal targets only") {
                chosen(cost, target("far", domain = "b"), target("near", waitMs = 1)) shouldBe "near"
                chosen(cost, target("far", domain = "b"), target("near", waitMs = 500)) shouldBe "far"
            }

            it("returns null without candidates") {
                chosen(cost) shouldBe null
            }
        }

        describe("the least-loaded policy") {
            it("chooses the target with the fewest calls in flight") {
                val policy = routingPolicy(RoutingPolicyKind.LEAST_LOADED, Random(1))
                chosen(policy, target("busy", inFlight = 2), target("idle", inFlight = 1)) shouldBe "idle"
            }
        }
    })
