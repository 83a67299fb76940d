package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.integration.caller.CallerAnswer
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Each gateway in turn is frozen past its lease with a request in its socket, and goes on after another took over. */
class FencedOwnerProof : Proof {
    override val name = "fenced-owner"
    override val mechanisms = setOf(Mechanism.OWNER_FENCING, Mechanism.FRESHNESS, Mechanism.DURABLE_INTENT)
    override val options = FleetOptions(gateways = 2, engines = 1, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        return fleet.gateways.indices.flatMap { frozen -> freeze(fleet, key, frozen, random.nextInt(Int.MAX_VALUE)) }
    }

    private suspend fun freeze(
        fleet: Fleet,
        key: String,
        frozen: Int,
        number: Int,
    ): List<Violation> =
        coroutineScope {
            val programs = List(PROGRAMS) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, frozen) }
            programs.forEachIndexed { index, program ->
                program.open("fenced-$number-$index")
                program.modelTurn(1, "warm up")
            }
            fleet.gateways[frozen].process.stop()
            val late = programs.map { async { sendTool(it, frozen) } }
            delay(fleet.options.leaseMs * LEASES_FROZEN)
            val answers = programs.map { sendUntilRun(it, frozen + 1) }
            fleet.gateways[frozen].process.cont()
            late.forEach { it.await() }
            programs.zip(answers).flatMap { (program, answer) -> check(fleet, program, answer) }
        }

    private suspend fun sendTool(
        program: ProgramDriver,
        gateway: Int,
    ): CallerAnswer =
        program.sendOnce(
            gateway,
            HttpMethod.Post,
            "/v1/programs/${program.id}/turns/2",
            ProgramDriver.toolBody(effect(program), idempotent = false),
        )

    private suspend fun sendUntilRun(
        program: ProgramDriver,
        gateway: Int,
    ): CallerAnswer {
        var answer = sendTool(program, gateway)
        repeat(MAX_SENDINGS) {
            if ((answer as? CallerAnswer.Whole)?.error?.execution != "not_run") return answer
            delay(RESEND_DELAY_MS)
            answer = sendTool(program, gateway)
        }
        return answer
    }

    private suspend fun check(
        fleet: Fleet,
        program: ProgramDriver,
        answer: CallerAnswer,
    ): List<Violation> {
        val runs = fleet.requestsOf(fleet.tools).count { effect(program) in it.body }
        val isDone = (answer as? CallerAnswer.Whole)?.error == null && answer is CallerAnswer.Whole
        return listOfNotNull(
            Violation("a fenced owner sends no effect", "${program.id}: $runs runs").takeIf { runs > 1 },
            Violation("the program goes on elsewhere", "${program.id}: $answer").takeUnless { isDone },
        )
    }

    private fun effect(program: ProgramDriver): String = "effect of ${program.id}."

    private companion object {
        const val PROGRAMS = 6
        const val LEASES_FROZEN = 2
        const val MAX_SENDINGS = 60
        const val RESEND_DELAY_MS = 250L
    }
}
