package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.TEST_MODEL
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.integration.program.StreamText
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Sends the turns of each program concurrently and in shuffled order through both gateways. */
class OrderProof : Proof {
    override val name = "order"
    override val mechanisms = setOf(Mechanism.TURN_ORDER)
    override val options = FleetOptions(gateways = 2, engines = 2, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val programs = List(PROGRAMS) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, it) }
        val responses =
            coroutineScope {
                programs
                    .mapIndexed { index, program -> async { sendShuffled(program, index, Random(random.nextInt())) } }
                    .awaitAll()
            }
        val records = fleet.requestsOf(fleet.engines)
        return responses.flatten() + programs.flatMap { outOfOrderTurns(it, records) }
    }

    private suspend fun sendShuffled(
        program: ProgramDriver,
        index: Int,
        random: Random,
    ): List<Violation> {
        program.open("order-$index")
        val numbers = (1..TURNS).shuffled(random)
        val responses =
            coroutineScope {
                numbers.map { number -> async { number to send(program, number) } }.awaitAll()
            }
        return responses.mapNotNull { (number, response) -> wrongResponse(program, number, response) }
    }

    private suspend fun send(
        program: ProgramDriver,
        number: Int,
    ): CallerResponse =
        program.sendOnce(
            gateway = number,
            method = HttpMethod.Post,
            path = "/v1/programs/${program.id}/turns/$number",
            body = ProgramDriver.modelBody(message(program, number), TOKENS, stream = number % 2 == 0),
        )

    private fun wrongResponse(
        program: ProgramDriver,
        number: Int,
        response: CallerResponse,
    ): Violation? {
        val complete = response as? CallerResponse.Complete
        if (complete?.error?.execution == "not_run") return null
        val text = complete?.let(StreamText::of)
        if (text == GeneratedText.full(TEST_MODEL, message(program, number), TOKENS)) return null
        return Violation("a caller gets the complete response to its request", "${program.id} turn $number: $response")
    }

    private fun outOfOrderTurns(
        program: ProgramDriver,
        records: List<RequestRecord>,
    ): List<Violation> {
        val runs = records.filter { it.programId == program.id }
        return (2..TURNS).mapNotNull { number ->
            val earlier =
                runs
                    .filter {
                        message(
                            program,
                            number - 1,
                        ) in it.body
                    }.mapNotNull { it.endedAtMs }
                    .minOrNull()
            val later = runs.filter { message(program, number) in it.body }.minOfOrNull { it.receivedAtMs }
            val isEarly = later != null && (earlier == null || later < earlier)
            Violation(
                "turns run in order",
                "${program.id}: turn $number before the end of ${number - 1}",
            ).takeIf { isEarly }
        }
    }

    private fun message(
        program: ProgramDriver,
        number: Int,
    ): String = "order ${program.id} turn-$number."

    private companion object {
        const val PROGRAMS = 8
        const val TURNS = 5
        const val TOKENS = 6
    }
}
