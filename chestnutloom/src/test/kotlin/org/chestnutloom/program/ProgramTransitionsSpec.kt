package org.chestnutloom.program

import arrow.core.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.CallId
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ProgramId
import kotlin.random.Random

private const val SEED = 20_261_204L

internal class ProgramTransitionsSpec :
    DescribeSpec({
        fun program(
            tokens: Long = 100,
            calls: Long = 10,
        ) = ProgramRecord(ProgramId("p"), ClientAccountId("a"), Budget(tokens, calls, 1_000), 0, 0)

        fun intent(
            turnNumber: Int,
            tokens: Long = 10,
        ) = TurnIntent(turnNumber, "hash", CallKind.MODEL, "m", CallId("c"), true, Cost(tokens, 1))

        describe("decideTurn") {
            it("starts only the next turn, and only in an open program") {
                val record = program().copy(lastTurn = 3)
                record.decideTurn(3, "hash") shouldBe TurnDecision.Recorded
                record.decideTurn(4, "hash") shouldBe TurnDecision.Start
                record.decideTurn(5, "hash") shouldBe TurnDecision.Early
                record.end(ProgramState.CLOSED, 1).decideTurn(4, "h") shouldBe
                    TurnDecision.Refuse(record.end(ProgramState.CLOSED, 1).endedRefusal())
            }

            it("attaches to the turn in progress only with the same body") {
                val record = program().copy(openTurn = intent(1))
                record.decideTurn(1, "hash") shouldBe TurnDecision.Attach
                record.decideTurn(1, "other") shouldBe TurnDecision.Refuse(turnMismatchRefusal(1))
                record.decideTurn(2, "hash") shouldBe TurnDecision.Early
            }
        }

        describe("beginTurn") {
            it("refuses turns that the budget or the wall time does not cover") {
                program(tokens = 9).beginTurn(intent(1), 0).leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
                program().beginTurn(intent(1), 1_000).leftOrNull()?.code shouldBe RefusalCode.BUDGET_EXHAUSTED
                program().beginTurn(intent(1), 999).isRight() shouldBe true
            }
        }

        describe("completeTurnAsUnknown") {
            it("holds the reservation permanently and completes the turn") {
                val record = program().copy(openTurn = intent(1)).completeTurnAsUnknown(5)
                record.reserved shouldBe Cost(10, 1)
                record.available shouldBe Cost(90, 9)
                record.lastTurn shouldBe 1
            }
        }

        describe("any sequence of turns and sub-agents") {
            it("keeps the spent and held cost of a program tree within the root's budget") {
                checkAll(PropTestConfig(seed = SEED), Arb.list(Arb.int(), 0..60)) { steps ->
                    var parent = program(tokens = 200, calls = 20)
                    val children = mutableMapOf<ProgramId, ProgramRecord>()
                    steps.forEachIndexed { index, step ->
                        val random = Random(step)
                        when (random.nextInt(4)) {
                            0 -> parent = turn(parent, random)
                            1 -> {
                                val id = parent.id.child("c$index")
                                val budget = Budget(random.nextLong(0, 60), random.nextLong(1, 5), 1_000)
                                parent.grantBudget(id, budget, 0).onRight {
                                    parent = it
                                    children[id] = ProgramRecord(id, parent.account, budget, 0, 0)
                                }
                            }
                            2 ->
                                children.keys.randomOrNull(random)?.let {
                                    children[it] =
                                        turn(children.getValue(it), random)
                                }
                            else ->
                                children.keys.randomOrNull(random)?.let {
                                    val ended = children.getValue(it).end(ProgramState.CLOSED, 0)
                                    if (ended.hasFullyEnded()) {
                                        parent = parent.reclaimBudget(ended)
                                        children.remove(it)
                                    }
                                }
                        }
                        val used =
                            children.values.fold(parent.spent + parent.held) { sum, it ->
                                sum + it.spent +
                                    it.held
                            }
                        used.tokens shouldBeLessThanOrEqual 200
                        used.calls shouldBeLessThanOrEqual 20
                        (parent.available.tokens >= 0 && parent.available.calls >= 0) shouldBe true
                    }
                }
            }
        }
    })

private fun turn(
    record: ProgramRecord,
    random: Random,
): ProgramRecord {
    val reserved = Cost(random.nextLong(1, 40), 1)
    val intent =
        TurnIntent(record.lastTurn + 1, "h", CallKind.MODEL, "m", CallId("c"), true, reserved)
    val started = record.beginTurn(intent, 0).getOrElse { return record }
    return when (random.nextInt(3)) {
        0 -> started.abortTurn()
        1 -> started.completeTurnAsUnknown(0)
        else -> started.completeTurn(Cost(random.nextLong(0, reserved.tokens + 1), 1), 0)
    }
}
