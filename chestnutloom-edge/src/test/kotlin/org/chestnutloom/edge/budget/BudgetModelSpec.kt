package org.chestnutloom.edge.budget

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun eventsAt(gateway: Int): List<BudgetEvent> =
    listOf(
        BudgetEvent.Begin(gateway, isRetained = true),
        BudgetEvent.Begin(gateway, isRetained = false),
        BudgetEvent.Claim(gateway),
        BudgetEvent.Send(gateway),
        BudgetEvent.End(gateway),
        BudgetEvent.Break(gateway),
        BudgetEvent.Kill(gateway),
        BudgetEvent.Pause(gateway, isUnregistered = false),
        BudgetEvent.Pause(gateway, isUnregistered = true),
        BudgetEvent.Evict(gateway),
    )

private val STORE_EVENTS = StoreMode.entries.map { BudgetEvent.Store(it) } + BudgetEvent.ApplyHeld

/** Events after which it is known of each turn whether it has reached a target, at gateways that serve stored turns. */
private val CERTAIN_EVENTS = (eventsAt(0) + eventsAt(1)).filterNot { it is BudgetEvent.Begin && !it.isRetained }

private val ALL_EVENTS = eventsAt(0) + eventsAt(1) + BudgetEvent.Leave(0) + BudgetEvent.Leave(1) + STORE_EVENTS

/** Plays [events] and returns what breaks a rule, or null. */
private suspend fun violationOf(
    events: List<BudgetEvent>,
    budgetTurns: Int,
    gatewayCount: Int = 2,
    checksServed: Boolean = false,
): String? {
    val model = BudgetModel(gatewayCount, budgetTurns * BudgetModel.MAX_TOKENS)
    events.forEach { model.apply(it) }
    if (checksServed) model.checkServed()
    return model.violation
}

/** Returns the first violation in all sequences of [length] of [events]. */
private suspend fun firstViolation(
    events: List<BudgetEvent>,
    length: Int,
    checksServed: Boolean,
): String? {
    var count = 1
    repeat(length) { count *= events.size }
    for (number in 0 until count) {
        var rest = number
        val sequence = List(length) { events[rest % events.size].also { rest /= events.size } }
        val violation = violationOf(sequence, budgetTurns = 2, checksServed = checksServed)
        if (violation != null) return "$violation after $sequence"
    }
    return null
}

/** Returns the first violation in random sequences with the seeds from 1 to [seeds]. */
private suspend fun firstRandomViolation(
    events: List<BudgetEvent>,
    seeds: Int,
    checksServed: Boolean,
): String? {
    for (seed in 1..seeds) {
        val random = Random(seed)
        val sequence = List(40) { events.random(random) }
        val violation = violationOf(sequence, random.nextInt(2, 9), checksServed = checksServed)
        if (violation != null) return "seed $seed: $violation after $sequence"
    }
    return null
}

class BudgetModelSpec :
    DescribeSpec({
        describe("claims on the budget of a program") {
            // Guards against tokens that are spent twice, under any faults of the store.
            it("never exceed it in all short sequences of events") {
                firstViolation(ALL_EVENTS, length = 4, checksServed = false) shouldBe null
            }

            it("never exceed it in random sequences of events") {
                firstRandomViolation(ALL_EVENTS, seeds = 2_000, checksServed = false) shouldBe null
            }

            // Guards against programs that are refused for good after their gateways have failed, also with turns that had not
            // been sent to a target yet (review/8, review/14).
            it("leave all of its room to turns in all short sequences of kills and pauses") {
                firstViolation(CERTAIN_EVENTS, length = 4, checksServed = true) shouldBe null
            }

            it("leave all of its room to turns in random sequences of kills and pauses") {
                firstRandomViolation(CERTAIN_EVENTS, seeds = 2_000, checksServed = true) shouldBe null
            }
        }
    })
