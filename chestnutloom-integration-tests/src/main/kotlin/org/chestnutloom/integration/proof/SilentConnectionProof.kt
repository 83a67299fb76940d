package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Stops delivery on all open links of gateways and sidecars without closing them, while new ones work.
 *
 * Guards against calls that wait forever on a dead connection, and against calls that run twice on a new one.
 */
class SilentConnectionProof : Proof {
    override val name = "silent-connections"
    override val mechanisms = setOf(Mechanism.LINK_HEARTBEAT)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1, proxied = true)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val programs = List(PROGRAMS) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, it) }
        programs.forEachIndexed { index, program ->
            program.open("silent-$index")
            program.runModelTurn(1, "warm up")
            program.runToolTurn(2, "warm up of ${program.id}.")
        }
        links.forEach { fleet.proxy?.setFault(it, "silent") }
        val responses = coroutineScope { programs.map { async { runTurnsAfterSilence(it) } }.awaitAll() }
        val runs = programs.map { program -> fleet.requestsOf(fleet.tools).count { effect(program) in it.body } }
        println("silent-connections answers=$responses runs=$runs")
        return listOfNotNull(
            Violation("new calls use a new connection", "$responses").takeIf { responses.any { !it } },
            Violation("no call runs twice", "$runs").takeIf { runs.any { it > 1 } },
        )
    }

    private suspend fun runTurnsAfterSilence(program: ProgramDriver): Boolean {
        val isCompleted =
            withTimeoutOrNull(RESPONSE_TIMEOUT_MS) {
                runsTurn(program, MODEL_TURN) && runsTurn(program, MODEL_TURN + 1)
            }
        return isCompleted == true
    }

    private suspend fun runsTurn(
        program: ProgramDriver,
        number: Int,
    ): Boolean {
        val isModel = number == MODEL_TURN
        val tool = ProgramDriver.toolBody(effect(program), idempotent = false)
        val body = if (isModel) ProgramDriver.modelBody("after silence", TOKENS, stream = false) else tool
        val response = program.sendOnce(number, HttpMethod.Post, "/v1/programs/${program.id}/turns/$number", body)
        return (response as? CallerResponse.Complete)?.status == OK
    }

    private fun effect(program: ProgramDriver): String = "effect after silence of ${program.id}."

    private companion object {
        val links = listOf("gateway-1-link", "gateway-2-link", "engine-1-link", "tool-1-link")
        const val PROGRAMS = 4
        const val MODEL_TURN = 3
        const val TOKENS = 4
        const val OK = 200
        const val RESPONSE_TIMEOUT_MS = 15_000L
    }
}
