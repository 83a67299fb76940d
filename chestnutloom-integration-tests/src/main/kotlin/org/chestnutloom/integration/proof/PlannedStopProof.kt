package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
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

/** Stops a gateway and a sidecar by SIGTERM while streams run through both. */
class PlannedStopProof : Proof {
    override val name = "planned-stop"
    override val mechanisms = setOf(Mechanism.GRACEFUL_STOP)
    override val options =
        FleetOptions(gateways = 2, engines = 2, toolServices = 1, maxRunning = 16, decodeMsPerStep = 30.0)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val stopped = listOf(fleet.gateways[0].process, fleet.engines[0].sidecar)
        val responses =
            coroutineScope {
                val streams = List(STREAMS) { async { stream(fleet, key, it) } }
                delay(STREAM_START_MS)
                stopped.forEach { it.term() }
                streams.awaitAll()
            }
        val exitCodes = stopped.map { it.awaitExit() }
        return responses.filterNotNull() +
            listOfNotNull(
                Violation("a graceful shutdown ends with exit code 0", "$exitCodes").takeIf {
                    exitCodes.any {
                        it !=
                            0
                    }
                },
            )
    }

    private suspend fun stream(
        fleet: Fleet,
        key: String,
        number: Int,
    ): Violation? {
        val program = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, number)
        program.open("stop-$number")
        val message = "stop $number."
        val body = ProgramDriver.modelBody(message, TOKENS, stream = true)
        val response = program.sendOnce(number, HttpMethod.Post, "/v1/programs/${program.id}/turns/1", body)
        val text = (response as? CallerResponse.Complete)?.let(StreamText::of)
        if (text == GeneratedText.full(TEST_MODEL, message, TOKENS)) return null
        return Violation("a graceful shutdown aborts no request", "stream $number: $response")
    }

    private companion object {
        const val STREAMS = 12
        const val TOKENS = 100
        const val STREAM_START_MS = 1_500L
    }
}
