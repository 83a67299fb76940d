package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Drops the reply of a non-idempotent call at each hop in turn, while the caller retries through another gateway.
 *
 * Guards against a retry that runs the call a second time, and against a response that misstates whether it ran.
 */
class AtMostOnceProof : Proof {
    override val name = "at-most-once"
    override val mechanisms = setOf(Mechanism.DURABLE_INTENT, Mechanism.DUPLICATE_SUPPRESSION, Mechanism.NOT_RUN_FENCE)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1, proxied = true)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val hops = fleet.gateways.flatMap { listOf("${it.name}-http", "${it.name}-link") } + TARGET_HOPS
        return hops.flatMap { hop -> violationsAt(fleet, hop, key, "effect-${random.nextInt(Int.MAX_VALUE)}") }
    }

    private suspend fun violationsAt(
        fleet: Fleet,
        hop: String,
        key: String,
        effect: String,
    ): List<Violation> {
        val program = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key)
        program.open(effect)
        fleet.proxy?.setFault(hop, "drop_reply", delayMs = CLOSE_DELAY_MS, count = 1, match = effect)
        val response = sendUntilOutcomeKnown(fleet, program, effect)
        fleet.proxy?.setFault(hop, "pass")
        val runs = fleet.requestsOf(fleet.tools).count { effect in it.body }
        println("at-most-once hop=$hop runs=$runs answer=$response")
        return violationsOf(hop, runs, response)
    }

    private suspend fun sendUntilOutcomeKnown(
        fleet: Fleet,
        program: ProgramDriver,
        effect: String,
    ): CallerResponse {
        val body = ProgramDriver.toolBody(effect, idempotent = false)
        val path = "/v1/programs/${program.id}/turns/1"
        var response: CallerResponse = CallerResponse.Aborted("not sent")
        repeat(MAX_ATTEMPTS) { attempt ->
            response = program.sendOnce(attempt % fleet.gateways.size, HttpMethod.Post, path, body)
            if (isOutcomeKnown(response)) return response
            delay(RETRY_DELAY_MS)
        }
        return response
    }

    private fun isOutcomeKnown(response: CallerResponse): Boolean {
        val complete = response as? CallerResponse.Complete ?: return false
        val error = complete.error ?: return true
        return error.execution == "unknown" || error.execution == "ran"
    }

    private fun violationsOf(
        hop: String,
        runs: Int,
        response: CallerResponse,
    ): List<Violation> {
        val error = (response as? CallerResponse.Complete)?.error
        val isResult = response is CallerResponse.Complete && error == null
        return listOfNotNull(
            Violation("a non-idempotent call runs at most once", "$hop: $runs runs").takeIf { runs > 1 },
            Violation("a successful response is backed by a run", "$hop: no run").takeIf { isResult && runs == 0 },
            Violation("a call refused as not run never ran", "$hop: $error, $runs runs")
                .takeIf { error?.execution == "not_run" && runs > 0 },
            Violation("the caller learns the outcome", "$hop: $response").takeIf { response is CallerResponse.Aborted },
        )
    }

    private companion object {
        val TARGET_HOPS = listOf("tool-1-link", "tool-1-target")
        const val CLOSE_DELAY_MS = 200L
        const val MAX_ATTEMPTS = 30
        const val RETRY_DELAY_MS = 250L
    }
}
