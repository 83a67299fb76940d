package org.chestnutloom.integration.proof

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.TEST_MODEL
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.integration.program.StreamText
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Kills and replaces gateways one after the other while programs of two client accounts run.
 *
 * Guards against turns that are lost, run twice or returned to another program when a gateway takes over.
 */
class HistoryProof : Proof {
    override val name = "history"
    override val mechanisms = emptySet<Mechanism>()
    override val options = FleetOptions(gateways = 3, engines = 2, toolServices = 1, decodeMsPerStep = 15.0)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val keys = fleet.options.accounts.map { fleet.createKey(it.name).bearer }
        val programs =
            List(PROGRAM_COUNT) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, keys[it % keys.size], it) }
        val turnViolations =
            coroutineScope {
                launch { killGateways(fleet, random) }
                programs.mapIndexed { index, program -> async { runProgram(program, index) } }.awaitAll()
            }
        return turnViolations.flatten() + programs.flatMap { lostTurns(it) } + duplicateEffects(fleet, programs)
    }

    private suspend fun killGateways(
        fleet: Fleet,
        random: Random,
    ) {
        repeat(KILL_COUNT) { kill ->
            delay(random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
            fleet.gateways[kill].process.kill9()
            fleet.startGateway(kill)
        }
    }

    private suspend fun runProgram(
        program: ProgramDriver,
        index: Int,
    ): List<Violation> {
        program.open("history-$index")
        val found = mutableListOf<Violation>()
        for (number in 1..TURN_COUNT) {
            if (number == TOOL_TURN) {
                val response = program.runToolTurn(number, effect(program))
                if (response.error?.execution ==
                    "not_run"
                ) {
                    found += Violation("each turn runs", "${program.id}: $response")
                }
                continue
            }
            val isStream = number % 2 == 0
            val response = program.runModelTurn(number, message(program, number), COMPLETION_TOKENS, isStream)
            val isExpected = StreamText.of(response) == expected(program, number)
            if (!isExpected) {
                found +=
                    Violation("each response belongs to its request", "${program.id} turn $number: $response")
            }
        }
        return found
    }

    private suspend fun lostTurns(program: ProgramDriver): List<Violation> =
        (1..TURN_COUNT).filter { it != TOOL_TURN }.mapNotNull { number ->
            val turn = program.readTurn(number)
            val isPreserved = StreamText.of(turn) == expected(program, number)
            Violation("each completed turn keeps its own response", "${program.id} turn $number: $turn")
                .takeUnless { isPreserved }
        }

    private suspend fun duplicateEffects(
        fleet: Fleet,
        programs: List<ProgramDriver>,
    ): List<Violation> {
        val records = fleet.requestsOf(fleet.tools)
        return programs.mapNotNull { program ->
            val runs = records.count { effect(program) in it.body }
            Violation("a non-idempotent call runs at most once", "${program.id}: $runs runs").takeIf { runs > 1 }
        }
    }

    private fun expected(
        program: ProgramDriver,
        number: Int,
    ): String = GeneratedText.full(TEST_MODEL, message(program, number), COMPLETION_TOKENS)

    private fun message(
        program: ProgramDriver,
        number: Int,
    ): String = "history ${program.id} turn-$number."

    private fun effect(program: ProgramDriver): String = "payment of ${program.id}."

    private companion object {
        const val PROGRAM_COUNT = 50
        const val TURN_COUNT = 5
        const val TOOL_TURN = 3
        const val COMPLETION_TOKENS = 8
        const val KILL_COUNT = 2
        const val MIN_PAUSE_MS = 300L
        const val MAX_PAUSE_MS = 900L
    }
}
