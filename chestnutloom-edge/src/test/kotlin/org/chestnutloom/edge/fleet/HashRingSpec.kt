package org.chestnutloom.edge.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.chestnutloom.id.GatewayId

private fun gateways(count: Int) = (1..count).map { GatewayId("gateway-$it") }.toSet()

class HashRingSpec :
    DescribeSpec({
        describe("a hash ring") {
            val members = gateways(30)
            val ring = HashRing(members)

            it("lists all other gateways after a member, its nearest successors first") {
                for (member in members) {
                    ring.othersAfter(member) shouldContainExactlyInAnyOrder members - member
                    (ring.othersAfter(member).take(2).toSet() - ring.neighborsOf(member, distance = 2)) shouldBe
                        emptySet()
                }
            }

            // Guards against gateways that open links to all others in an outage of the store.
            it("makes each gateway one of the first five of equally many others") {
                val uses = members.flatMap { ring.othersAfter(it).take(5) }.groupingBy { it }.eachCount()
                uses.values.toSet() shouldBe setOf(5)
            }

            it("moves only a few keys when a gateway joins") {
                val larger = HashRing(gateways(31))
                val keys = List(1_000) { "account-$it" }
                val moved = keys.count { ring.successorsOf(it, 1) != larger.successorsOf(it, 1) }
                moved shouldBeLessThanOrEqual 200
            }

            it("returns all gateways if there are fewer than requested") {
                HashRing(gateways(2)).successorsOf("account", 3).size shouldBe 2
                HashRing(emptySet()).successorsOf("account", 3).size shouldBe 0
            }
        }
    })
