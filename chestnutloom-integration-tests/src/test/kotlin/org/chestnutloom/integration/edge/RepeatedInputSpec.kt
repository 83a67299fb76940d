package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.ScriptedTarget
import org.chestnutloom.fakes.edge.streamResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RepeatedInputSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        /** Starts a target that stops listening and breaks off its stream when it gets a request. */
        suspend fun crashingTarget(id: String): ScriptedTarget {
            lateinit var target: ScriptedTarget
            target =
                fleet.target(id, EdgeFleet.LLM) { request ->
                    runBlocking { target.stop() }
                    ScriptedResponse(streamResponse(request, listOf("x"), isComplete = false).chunks)
                }
            return target
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
        }
    })
