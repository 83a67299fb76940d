package org.chestnutloom.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.ProgramId

class RendezvousSpec :
    DescribeSpec({
        describe("rendezvous hashing") {
            val members = (1..4).map { GatewayId("gw-$it") }

            it("distributes slots evenly over members and programs evenly over slots") {
                val owned = (0 until 1000).groupingBy { preferredOwner(it, members) }.eachCount()
                owned.values.forEach { it shouldBeInRange 150..350 }
                val programs = (0 until 6400).groupingBy { slotOf(ProgramId("p$it"), 64) }.eachCount()
                programs.size shouldBe 64
                programs.values.forEach { it shouldBeInRange 50..150 }
            }

            it("moves only the slots of a member that leaves") {
                val before = (0 until 200).associateWith { preferredOwner(it, members) }
                val after = (0 until 200).associateWith { preferredOwner(it, members.drop(1)) }
                val moved = before.filter { (slot, owner) -> after[slot] != owner }
                listOf(members[0]) shouldContainAll moved.values.distinct()
            }

            it("maps a whole program tree to one slot") {
                slotOf(ProgramId("p1").child("a").child("b"), 64) shouldBe slotOf(ProgramId("p1"), 64)
            }
        }
    })
