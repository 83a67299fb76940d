package org.chestnutloom.integration.proof

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/** Sends a request body that crashes any engine that runs it, each time in a new program. */
class QuarantineProof : Proof {
    override val name = "crashing-request"
    override val mechanisms = setOf(Mechanism.QUARANTINE)
    override val options = FleetOptions(gateways = 2, engines = 4, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        repeat(ATTEMPT_COUNT) { attempt ->
            val program = ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, attempt)
            program.open("crash-$attempt")
            val body = ProgramDriver.modelBody("CRASH-ENGINE please", COMPLETION_TOKENS, stream = false)
            program.sendOnce(attempt, HttpMethod.Post, "/v1/programs/${program.id}/turns/1", body)
            delay(RETRY_DELAY_MS)
        }
        val crashed = fleet.engines.count { !it.process.isAlive }
        println("crashing-request crashed=$crashed")
        return listOfNotNull(
            Violation("one request crashes at most two targets", "$crashed crashed").takeIf { crashed > MAX_CRASHES },
        )
    }

    private companion object {
        const val ATTEMPT_COUNT = 8
        const val COMPLETION_TOKENS = 4
        const val RETRY_DELAY_MS = 500L
        const val MAX_CRASHES = 2
    }
}
