package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.engine.GeneratedText
import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.integration.caller.CallerAnswer
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.fleet.TEST_MODEL
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.integration.program.StreamText
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Callers send the turns of their programs all at once and in shuffled order, through both gateways. */
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
        val answers =
            coroutineScope {
                programs
                    .mapIndexed { index, program -> async { sendShuffled(program, index, Random(random.nextInt())) } }
                    .awaitAll()
            }
        val records = fleet.requestsOf(fleet.engines)
        return answers.flatten() + programs.flatMap { outOfOrder(it, records) }
    }

    private suspend fun sendShuffled(
        program: ProgramDriver,
        index: Int,
        random: Random,
    ): List<Violation> {
        program.open("order-$index")
        val numbers = (1..TURNS).shuffled(random)
        val answers =
            coroutineScope {
                numbers.map { number -> async { number to send(program, number) } }.awaitAll()
            }
        return answers.mapNotNull { (number, answer) -> wrongAnswer(program, number, answer) }
    }

    private suspend fun send(
        program: ProgramDriver,
        number: Int,
    ): CallerAnswer =
        program.sendOnce(
            gateway = number,
            method = HttpMethod.Post,
            path = "/v1/programs/${program.id}/turns/$number",
            body = ProgramDriver.modelBody(message(program, number), TOKENS, stream = number % 2 == 0),
        )

    private fun wrongAnswer(
        program: ProgramDriver,
        number: Int,
        answer: CallerAnswer,
    ): Violation? {
        val whole = answer as? CallerAnswer.Whole
        if (whole?.error?.execution == "not_run") return null
        val text = whole?.let(StreamText::of)
        if (text == GeneratedText.full(TEST_MODEL, message(program, number), TOKENS)) return null
        return Violation("a caller gets the whole answer to its own request", "${program.id} turn $number: $answer")
    }

    private fun outOfOrder(
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
