package org.chestnutloom.fakes.workload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe

private const val SEED = 3L

class ProgramPlannerSpec :
    DescribeSpec({
        val names =
            listOf("smoke", "intreccio-calm", "intreccio-overload", "swan-coastal-calm", "swan-coastal-overload")

        describe("the programs of each bundled workload with seed $SEED") {
            names.forEach { name ->
                it("of $name are ordered by arrival, have unique messages and are reproducible") {
                    val workload = WorkloadDocuments.load(name)
                    val plans = ProgramPlanner(workload, SEED).plan()
                    plans.shouldNotBeEmpty()
                    plans.map { it.arrival }.shouldBeSorted()
                    val messages = plans.flatMap { plan -> plan.turns.map { it.message } }
                    messages.toSet().size shouldBe messages.size
                    (ProgramPlanner(workload, SEED).plan() == plans) shouldBe true
                    (ProgramPlanner(workload, SEED + 1).plan() == plans) shouldBe false
                }
            }
        }

        describe("an account that sends five times as many programs") {
            it("leaves the programs of the other accounts unchanged") {
                val calm = ProgramPlanner(WorkloadDocuments.load("swan-coastal-calm"), SEED).plan()
                val overload = ProgramPlanner(WorkloadDocuments.load("swan-coastal-overload"), SEED).plan()
                val busy = "coastal-hospital"
                (overload.filter { it.account != busy } == calm.filter { it.account != busy }) shouldBe true
            }
        }
    })
