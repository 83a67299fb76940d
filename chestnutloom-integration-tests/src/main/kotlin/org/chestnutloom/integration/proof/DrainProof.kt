package org.chestnutloom.integration.proof

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.integration.caller.CallerResponse
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.FleetOptions
import org.chestnutloom.integration.program.complete
import org.chestnutloom.integration.program.completionBody
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.store.VmRole
import org.chestnutloom.store.VmState
import kotlin.random.Random

/** Drains one target by operator command and marks another as leaving on the VM list; neither may get new calls. */
class DrainProof : Proof {
    override val name = "leaving-target"
    override val mechanisms = setOf(Mechanism.DRAIN)
    override val options = FleetOptions(gateways = 2, engines = 3, toolServices = 1)

    override suspend fun violations(
        fleet: Fleet,
        random: Random,
    ): List<Violation> {
        val key = fleet.createKey("hospital").bearer
        val completedBefore = sendAll(fleet, key)
        val drained = fleet.engines[0]
        val leaving = fleet.engines[1]
        fleet.cli.run("drain", drained.name, "--environment", Fleet.ENVIRONMENT)
        fleet.registerVm(leaving.name, VmRole.TARGET, leaving.linkPort, VmState.LEAVING)
        delay(DRAIN_BOUND_MS)
        val countsBefore = listOf(drained, leaving).map { fleet.requestsOf(it).size }
        val completedAfter = sendAll(fleet, key)
        val countsAfter = listOf(drained, leaving).map { fleet.requestsOf(it).size }
        return listOfNotNull(
            Violation("a leaving target gets no new calls", "$countsBefore then $countsAfter").takeIf {
                countsBefore !=
                    countsAfter
            },
            Violation("the other targets serve all calls", "$completedBefore, $completedAfter").takeIf {
                completedBefore +
                    completedAfter !=
                    CALLS * 2
            },
        )
    }

    private suspend fun sendAll(
        fleet: Fleet,
        key: String,
    ): Int =
        coroutineScope {
            val calls = List(CALLS) { async { send(fleet, key, it) } }
            val responses = calls.awaitAll()
            println("leaving-target errors=${responses.mapNotNull { (it as? CallerResponse.Complete)?.error }}")
            responses.count { (it as? CallerResponse.Complete)?.status == OK }
        }

    private suspend fun send(
        fleet: Fleet,
        key: String,
        number: Int,
    ): CallerResponse {
        val body = completionBody("drain $number", TOKENS, stream = false)
        val urls = fleet.gatewayUrls
        return fleet.caller.complete(urls[number % urls.size], key, body)
    }

    private companion object {
        const val CALLS = 24
        const val TOKENS = 8
        const val DRAIN_BOUND_MS = 3_000L
        const val OK = 200
    }
}
