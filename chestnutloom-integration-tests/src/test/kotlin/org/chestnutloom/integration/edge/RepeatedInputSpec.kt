package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.ScriptedTarget
import org.chestnutloom.fakes.edge.streamResponse
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RepeatedInputSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        /** Starts a target that stops listening and breaks off its stream when it gets a request. */
        suspend fun crashingTarget(
            id: String,
            service: String = EdgeFleet.LLM,
            beforeCrash: () -> Unit = {},
        ): ScriptedTarget {
            lateinit var target: ScriptedTarget
            target =
                fleet.target(id, service) { request ->
                    beforeCrash()
                    runBlocking { target.stop() }
                    ScriptedResponse(streamResponse(request, listOf("x"), isComplete = false).chunks)
                }
            return target
        }

        describe("an idempotent request that crashes each target") {
            // Guards against a trial that crashes as many targets as its route allows attempts.
            it("crashes one target in its first trial") {
                val caller = fleet.caller()
                for (id in listOf("e-1", "e-2")) {
                    val target = crashingTarget(id, EdgeFleet.PLAIN)
                    eventually {
                        caller.send("GET", "/plain/1")
                        target.received.isNotEmpty()
                    }
                    fleet.store.remove("servers", id)
                    delay(500.milliseconds)
                }
                caller.send("GET", "/plain/1").status shouldBe 503
                val later = listOf("e-3", "e-4", "e-5").map { crashingTarget(it, EdgeFleet.PLAIN) }
                withTimeout(10.seconds) {
                    eventually {
                        caller.send("GET", "/plain/1")
                        later.any { it.received.isNotEmpty() }
                    }
                }
                delay(500.milliseconds)
                later.sumOf { it.received.size } shouldBe 1
            }
        }

        describe("requests with the same input at targets that crash for other reasons") {
            // Guards against innocent requests that were refused forever after two crashes that others had caused.
            it("are served, since others with that input run to their end") {
                val caller = fleet.caller()
                val sound = fleet.target("e-0", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                eventually { caller.send("POST", "/chat/1", "yes").hasLastChunk }
                for (crash in 1..2) {
                    fleet.putTarget("e-0", EdgeFleet.LLM, sound.port, state = "draining")
                    val crashing = crashingTarget("e-$crash")
                    eventually {
                        caller.send("POST", "/chat/1", "yes")
                        crashing.received.isNotEmpty()
                    }
                    delay(200.milliseconds)
                    fleet.store.remove("servers", "e-$crash")
                    fleet.putTarget("e-0", EdgeFleet.LLM, sound.port)
                    withTimeout(20.seconds) { eventually { caller.send("POST", "/chat/1", "yes").status != 503 } }
                }
                caller.send("POST", "/chat/1", "yes").hasLastChunk shouldBe true
            }

            // Guards against a common input that was refused for 30 s after two targets had crashed at one moment (review/13).
            it("are served after two targets have crashed at the same moment while each ran one") {
                val bothRun = CyclicBarrier(2)
                val crashing = listOf("e-1", "e-2").map { crashingTarget(it) { bothRun.await(5, TimeUnit.SECONDS) } }
                // The gateway knows both targets when it starts to serve, and sends the requests to different ones.
                val caller = fleet.caller()
                coroutineScope { repeat(2) { launch { caller.send("POST", "/chat/1", "yes") } } }
                crashing.forEach { it.received shouldHaveSize 1 }
                delay(200.milliseconds)
                listOf("e-1", "e-2").forEach { fleet.store.remove("servers", it) }
                fleet.target("e-0", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                eventually { caller.send("POST", "/chat/1", "other").hasLastChunk }
                caller.send("POST", "/chat/1", "yes").hasLastChunk shouldBe true
            }
        }
    })
