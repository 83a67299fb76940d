package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.signedResponse
import org.chestnutloom.fakes.edge.streamResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** The bound for a change of the configuration, and of the state of a target. */
private val CONFIGURATION_BOUND = 2.seconds

/** With 4 slots each, so that no turn of [PARALLEL_TURNS] is refused for the load of the targets. */
private const val ENGINES = 3
private const val PARALLEL_TURNS = 5

class SilentStoreSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()
        val dropped = "," + fleet.route("old", "idempotent", EdgeFleet.PLAIN, 1)

        beforeEach {
            fleet.start()
            fleet.proxyStore()
            fleet.configure(version = 1, extraRoutes = dropped)
            fleet.target("i-1") { signedResponse(it, "x") }
            repeat(
                ENGINES,
            ) { fleet.target("e-$it", EdgeFleet.LLM) { request -> streamResponse(request, listOf("one")) } }
        }
        afterEach { fleet.stop() }

        suspend fun RawCaller.turn(id: String): RawResponse {
            val headers =
                mapOf(
                    "Chestnutloom-Program-Id" to "p-$id",
                    "Chestnutloom-Token-Budget" to "1000",
                    "Chestnutloom-Token-Usage" to "10,100",
                )
            return send("POST", "/chat/1", "hello", id, headers = headers)
        }

        /** Sends turns at the same time, so that the gateway holds several idle connections to the store. */
        suspend fun RawCaller.turns(name: String): List<RawResponse> =
            coroutineScope { (1..PARALLEL_TURNS).map { async { turn("$name-$it") } }.awaitAll() }

        /** Silences the connections to the store once a watch has just begun, when it takes longest to be missed. */
        suspend fun silence(caller: RawCaller) {
            val added = "," + fleet.route("new", "idempotent", EdgeFleet.PLAIN, 1)
            fleet.configure(version = 2, extraRoutes = dropped + added)
            eventually { caller.send("GET", "/new/1").status == 200 }
            delay(50.milliseconds)
            fleet.silenceStoreConnections()
        }

        describe("a gateway whose open connections to the store have all gone silent") {
            // Guards against one silent connection after another, while a dropped route stays in use for 4.9 s.
            it("applies a change of the configuration within its bound") {
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turns("before").map { it.status }.toSet() shouldBe setOf(200)
                silence(caller)
                fleet.configure(version = 3)
                val applied = measureTime { eventually { caller.send("GET", "/old/1").status == 404 } }
                applied shouldBeLessThan CONFIGURATION_BOUND
            }

            // Guards against turns that wait for a claim, and for its second call, on connections that are all silent.
            it("claims and saves a turn on other connections") {
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turns("before").map { it.status }.toSet() shouldBe setOf(200)
                silence(caller)
                caller.turn("after").status shouldBe 200
            }
        }
    })
