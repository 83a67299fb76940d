package org.chestnutloom.integration.proof

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.ProgramDriver
import org.chestnutloom.mechanism.Mechanism
import kotlin.random.Random

/**
 * Ends programs by close, cancellation or inactivity, and kills a gateway and a sidecar.
 *
 * Guards against engine cache that stays allocated for programs that no longer exist.
 */
class EngineMemoryProof : Proof {
    override val name = "engine-memory"
    override val mechanisms = setOf(Mechanism.CACHE_RELEASE)
    override val options =
        FleetOptions(
            gateways = 2,
            engines = 2,
            toolServices = 1,
            sidecarArguments = listOf("--program-retention-ms", "3000", "--program-idle-limit-ms", "6000"),
            engineArguments = listOf("--event-loss-ratio", "0.3"),
        )

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val programs = List(PROGRAM_COUNT) { ProgramDriver(fleet.caller, { fleet.gatewayUrls }, key, it) }
        programs.forEachIndexed { index, program ->
            program.open("memory-$index")
            program.runModelTurn(1, "remember this $index")
        }
        val initiallyCached = cachedPrograms(fleet)
        programs.forEachIndexed { index, program -> closeOrCancel(program, index) }
        fleet.gateways[0].process.kill9()
        fleet.engines[0].sidecar.kill9()
        fleet.restartSidecar(fleet.engines[0])
        val remaining = awaitRelease(fleet)
        println("engine-memory held at first=${initiallyCached.size} left=$remaining")
        return listOfNotNull(
            Violation("engines cache the prompts of running programs", "none").takeIf { initiallyCached.isEmpty() },
            Violation(
                "engines release the cache of ended programs",
                "$remaining",
            ).takeIf { remaining.isNotEmpty() },
        )
    }

    /** Polls until the engines have released everything or the polls run out; returns the programs still cached. */
    private suspend fun awaitRelease(fleet: Fleet): List<String> {
        var remaining = cachedPrograms(fleet)
        var polls = 0
        while (remaining.isNotEmpty() && polls < MAX_POLLS) {
            delay(POLL_MS)
            remaining = cachedPrograms(fleet)
            polls++
        }
        return remaining
    }

    private suspend fun closeOrCancel(
        program: ProgramDriver,
        index: Int,
    ) {
        if (index % ENDING_CASES == 0) program.close()
        if (index % ENDING_CASES == 1) program.cancel()
    }

    private suspend fun cachedPrograms(fleet: Fleet): List<String> =
        fleet.engines.flatMap { engine ->
            val listing =
                fleet.admin
                    .read("${engine.directUrl}/v1/cache")
                    .jsonObject
                    .getValue("programs") as JsonObject
            listing.filterValues { it.toString() != "0" }.keys
        }

    private companion object {
        const val PROGRAM_COUNT = 9
        const val ENDING_CASES = 3
        const val MAX_POLLS = 40
        const val POLL_MS = 500L
    }
}
