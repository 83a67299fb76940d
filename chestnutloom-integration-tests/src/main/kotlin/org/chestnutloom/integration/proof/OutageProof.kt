package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.TEST_MODEL
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.integration.program.StreamText
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Makes the table service and the object store unavailable for several lease terms.
 *
 * Model calls of programs must continue, non-idempotent calls must be refused, and turns recorded during the outage
 * must reach the store afterwards.
 */
class OutageProof : Proof {
    override val name = "store-outage"
    override val mechanisms = setOf(Mechanism.DURABLE_INTENT)
    override val options = FleetOptions(gateways = 2, engines = 2, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val programs = List(PROGRAMS) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, it) }
        programs.forEachIndexed { index, program ->
            program.open("outage-$index")
            program.runModelTurn(1, message(program, 1), TOKENS)
        }
        val stores = listOf(fleet.table.url, fleet.objects.url)
        stores.forEach { fleet.admin.setFault(it, "down") }
        delay(fleet.options.leaseMs)
        val turnViolations =
            (2..LAST_TURN).flatMap { number ->
                programs.mapNotNull { runTurnDuringOutage(fleet, it, number) }
            }
        val refusalViolations = programs.mapNotNull { checkToolTurnRefused(fleet, it) }
        stores.forEach { fleet.admin.setFault(it, "ok") }
        delay(fleet.options.leaseMs)
        replaceGateways(fleet)
        return turnViolations + refusalViolations + programs.flatMap { incompleteTurns(it) }
    }

    private suspend fun runTurnDuringOutage(
        fleet: Fleet,
        program: ProgramDriver,
        number: Int,
    ): Violation? {
        delay(fleet.options.leaseMs / PROGRAMS)
        val response = program.runModelTurn(number, message(program, number), TOKENS, stream = number % 2 == 0)
        if (StreamText.of(response) == expected(program, number)) return null
        return Violation("authenticated model calls continue during an outage", "${program.id} turn $number: $response")
    }

    private suspend fun checkToolTurnRefused(
        fleet: Fleet,
        program: ProgramDriver,
    ): Violation? {
        val effect = "outage effect of ${program.id}."
        val response =
            program.sendOnce(
                0,
                HttpMethod.Post,
                "/v1/programs/${program.id}/turns/${LAST_TURN + 1}",
                ProgramDriver.toolBody(effect, idempotent = false),
            )
        val runs = fleet.requestsOf(fleet.tools).count { effect in it.body }
        val error = (response as? CallerResponse.Complete)?.error
        if (runs == 0 && error?.execution == "not_run") return null
        return Violation("a non-idempotent call without a durable intent does not run", "$runs runs, $response")
    }

    private suspend fun replaceGateways(fleet: Fleet) {
        fleet.gateways.indices.forEach { index ->
            fleet.gateways[index].process.term()
            fleet.gateways[index].process.awaitExit()
            fleet.startGateway(index)
        }
    }

    private suspend fun incompleteTurns(program: ProgramDriver): List<Violation> =
        (1..LAST_TURN).mapNotNull { number ->
            val turn = program.readTurn(number)
            val isPreserved = StreamText.of(turn) == expected(program, number)
            Violation(
                "all journals are complete after an outage",
                "${program.id} turn $number: $turn",
            ).takeUnless { isPreserved }
        }

    private fun expected(
        program: ProgramDriver,
        number: Int,
    ): String = GeneratedText.full(TEST_MODEL, message(program, number), TOKENS)

    private fun message(
        program: ProgramDriver,
        number: Int,
    ): String = "outage ${program.id} turn-$number."

    private companion object {
        const val PROGRAMS = 6
        const val LAST_TURN = 4
        const val TOKENS = 6
    }
}
