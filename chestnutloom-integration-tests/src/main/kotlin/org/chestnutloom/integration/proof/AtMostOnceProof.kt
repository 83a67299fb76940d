package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import org.chestnutloom.integration.caller.CallerAnswer
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** A non-idempotent call loses its reply at each hop in turn, and the caller sends it again through another gateway. */
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
        fleet.proxy?.fault(hop, "drop_reply", delayMs = REPLY_HOLD_MS, count = 1, match = effect)
        val answer = sendUntilSettled(fleet, program, effect)
        fleet.proxy?.fault(hop, "pass")
        val runs = fleet.requestsOf(fleet.tools).count { effect in it.body }
        println("at-most-once hop=$hop runs=$runs answer=$answer")
        return check(hop, runs, answer)
    }

    private suspend fun sendUntilSettled(
        fleet: Fleet,
        program: ProgramDriver,
        effect: String,
    ): CallerAnswer {
        val body = ProgramDriver.toolBody(effect, idempotent = false)
        val path = "/v1/programs/${program.id}/turns/1"
        var answer: CallerAnswer = CallerAnswer.Broken("not sent")
        repeat(MAX_SENDINGS) { sending ->
            answer = program.sendOnce(sending % fleet.gateways.size, HttpMethod.Post, path, body)
            if (isSettled(answer)) return answer
            delay(RESEND_DELAY_MS)
        }
        return answer
    }

    private fun isSettled(answer: CallerAnswer): Boolean {
        val whole = answer as? CallerAnswer.Whole ?: return false
        val error = whole.error ?: return true
        return error.execution == "unknown" || error.execution == "ran"
    }

    private fun check(
        hop: String,
        runs: Int,
        answer: CallerAnswer,
    ): List<Violation> {
        val error = (answer as? CallerAnswer.Whole)?.error
        val isResult = answer is CallerAnswer.Whole && error == null
        return listOfNotNull(
            Violation("a non-idempotent call runs at most once", "$hop: $runs runs").takeIf { runs > 1 },
            Violation("a result is the result of a run", "$hop: no run").takeIf { isResult && runs == 0 },
            Violation("a refusal that says not run is true", "$hop: $error, $runs runs")
                .takeIf { error?.execution == "not_run" && runs > 0 },
            Violation("the caller gets to know", "$hop: $answer").takeIf { answer is CallerAnswer.Broken },
        )
    }

    private companion object {
        val TARGET_HOPS = listOf("tool-1-link", "tool-1-target")
        const val REPLY_HOLD_MS = 200L
        const val MAX_SENDINGS = 30
        const val RESEND_DELAY_MS = 250L
    }
}
