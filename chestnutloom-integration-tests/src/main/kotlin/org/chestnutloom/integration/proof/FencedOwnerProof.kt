package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Pauses each gateway in turn past its lease, with unread requests in its sockets, and resumes it after a takeover.
 *
 * Guards against a former owner that resumes and runs a call which its successor has already run.
 */
class FencedOwnerProof : Proof {
    override val name = "fenced-owner"
    override val mechanisms = setOf(Mechanism.OWNER_FENCING, Mechanism.FRESHNESS, Mechanism.DURABLE_INTENT)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        return fleet.gateways.indices.flatMap { paused ->
            violationsAfterPause(fleet, key, paused, random.nextInt(Int.MAX_VALUE))
        }
    }

    private suspend fun violationsAfterPause(
        fleet: Fleet,
        key: String,
        paused: Int,
        number: Int,
    ): List<Violation> =
        coroutineScope {
            val programs = List(PROGRAMS) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, paused) }
            programs.forEachIndexed { index, program ->
                program.open("fenced-$number-$index")
                program.runModelTurn(1, "warm up")
            }
            fleet.gateways[paused].process.stop()
            val lateCalls = programs.map { async { sendToolTurn(it, paused) } }
            delay(fleet.options.leaseMs * PAUSED_LEASES)
            val responses = programs.map { sendUntilRun(it, paused + 1) }
            fleet.gateways[paused].process.cont()
            lateCalls.forEach { it.await() }
            programs.zip(responses).flatMap { (program, response) -> violationsOf(fleet, program, response) }
        }

    private suspend fun sendToolTurn(
        program: ProgramDriver,
        gateway: Int,
    ): CallerResponse =
        program.sendOnce(
            gateway,
            HttpMethod.Post,
            "/v1/programs/${program.id}/turns/2",
            ProgramDriver.toolBody(effect(program), idempotent = false),
        )

    private suspend fun sendUntilRun(
        program: ProgramDriver,
        gateway: Int,
    ): CallerResponse {
        var response = sendToolTurn(program, gateway)
        repeat(MAX_ATTEMPTS) {
            if ((response as? CallerResponse.Complete)?.error?.execution != "not_run") return response
            delay(RETRY_DELAY_MS)
            response = sendToolTurn(program, gateway)
        }
        return response
    }

    private suspend fun violationsOf(
        fleet: Fleet,
        program: ProgramDriver,
        response: CallerResponse,
    ): List<Violation> {
        val runs = fleet.requestsOf(fleet.tools).count { effect(program) in it.body }
        val isCompleted = (response as? CallerResponse.Complete)?.error == null && response is CallerResponse.Complete
        return listOfNotNull(
            Violation("a fenced owner runs no call", "${program.id}: $runs runs").takeIf { runs > 1 },
            Violation("another gateway continues the program", "${program.id}: $response").takeUnless { isCompleted },
        )
    }

    private fun effect(program: ProgramDriver): String = "effect of ${program.id}."

    private companion object {
        const val PROGRAMS = 6
        const val PAUSED_LEASES = 2
        const val MAX_ATTEMPTS = 60
        const val RETRY_DELAY_MS = 250L
    }
}
