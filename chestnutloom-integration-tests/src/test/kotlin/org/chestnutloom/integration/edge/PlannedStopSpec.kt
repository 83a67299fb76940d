package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.signedResponse
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CALLERS = 12
private const val SEED = 20261205L

class PlannedStopSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a planned stop of a gateway whose callers keep using their connections") {
            // Guards against requests that came late in the grace period, were passed on, and were cut without a response.
            it("ends no request without a response that it has passed on") {
                fleet.gracePeriod = 4.seconds
                val targets =
                    (1..4).map { target ->
                        val random = Random(SEED + target)
                        fleet.target("i-$target") {
                            val response = signedResponse(it, "done")
                            ScriptedResponse(
                                response.chunks,
                                ConnectionAction.KEEP_ALIVE,
                                pause = random.nextInt(20, 400).milliseconds,
                            )
                        }
                    }
                fleet.configure(version = 1)
                val port = fleet.gateway("g1")
                val unanswered =
                    coroutineScope {
                        val callers = (1..CALLERS).map { async(Dispatchers.IO) { unansweredOf(it, port) } }
                        delay(500.milliseconds)
                        launch { fleet.stopGateway("g1") }
                        callers.awaitAll().flatten()
                    }
                val passedOn = targets.flatMap { it.received }.map { it.header("Chestnutloom-Attempt-Id") }
                passedOn.shouldNotBeEmpty()
                unanswered.filter { it in passedOn }.shouldBeEmpty()
            }
        }
    })

/** Sends requests until the gateway accepts no connection, and returns the ids of those without a response. */
private fun unansweredOf(
    caller: Int,
    port: Int,
): List<String> {
    val random = Random(SEED * CALLERS + caller)
    val unanswered = ArrayList<String>()
    var requests = 0
    while (true) {
        val connection =
            try {
                KeptConnection(port)
            } catch (_: IOException) {
                // The gateway no longer listens.
                return unanswered
            }
        connection.use {
            while (true) {
                val id = "c$caller-${++requests}"
                val status = it.send("/pay/1", id, callerTimeoutMs = random.nextInt(500, 6_000))
                if (status == null) unanswered += id
                if (status != 200) break
            }
        }
    }
}
