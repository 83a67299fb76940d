package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.StoreFault
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import org.chestnutloom.fakes.edge.streamResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TurnSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach {
            fleet.start()
            fleet.configure(version = 1)
        }
        afterEach { fleet.stop() }

        suspend fun RawCaller.turn(
            id: String,
            input: String,
            previous: String? = null,
            key: String = "key-a",
            program: String = "p-$id",
            budget: Int = 1_000,
        ): RawResponse {
            val programHeaders =
                mapOf(
                    "Chestnutloom-Program-Id" to program,
                    "Chestnutloom-Token-Budget" to "$budget",
                    "Chestnutloom-Token-Usage" to "10,100",
                )
            val previousHeader = previous?.let { mapOf("Chestnutloom-Previous-Turn" to it) }.orEmpty()
            return send("POST", "/chat/1", input, id, key, programHeaders + previousHeader)
        }

        describe("a turn that continues another") {
            it("sends the target all earlier turns, whichever gateway receives it") {
                val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one", "two")) }
                val first = RawCaller(fleet.gateway("g1"))
                first.turn("t1", "hello ").hasLastChunk shouldBe true
                first.turn("t2", "more ", previous = "t1").status shouldBe 200
                fleet.stopGateway("g1")
                val second = RawCaller(fleet.gateway("g2"))
                second.turn("t3", "last", previous = "t2").status shouldBe 200
                target.received.map { it.body.decodeToString() } shouldBe
                    listOf("hello ", "hello one\ntwo\nmore ", "hello one\ntwo\nmore one\ntwo\nlast")
            }

            it("is refused if the earlier turn does not exist or belongs to another account") {
                fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turn("t1", "hello").status shouldBe 200
                caller.turn("t2", "x", previous = "nothing").status shouldBe 404
                caller.turn("t3", "x", previous = "t1", key = "key-b").status shouldBe 404
            }

            it("may exceed the row size of the store") {
                val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val long = "x".repeat(200_000)
                RawCaller(fleet.gateway("g1")).turn("t1", long).status shouldBe 200
                RawCaller(fleet.gateway("g2")).turn("t2", "y", previous = "t1").status shouldBe 200
                target.received
                    .last()
                    .body
                    .decodeToString() shouldBe long + "one\ny"
            }
        }

        describe("a turn that exceeds a limit of the store") {
            // Guards against turns above the store's call size, which were answered whole and never written.
            it("is continued at another gateway if it is larger than a call of the store") {
                val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val long = "x".repeat(990_000)
                RawCaller(fleet.gateway("g1")).turn("t1", long).hasLastChunk shouldBe true
                fleet.stopGateway("g1")
                RawCaller(fleet.gateway("g2")).turn("t2", "y", previous = "t1").status shouldBe 200
                val continued = target.received.last().body
                continued.decodeToString() shouldBe long + "one\ny"
            }

            it("is refused if its id or its program's id is too long") {
                val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turn("i".repeat(201), "x", program = "p").status shouldBe 400
                caller.turn("t1", "x", program = "p".repeat(201)).status shouldBe 400
                caller.turn("t2", "x", previous = "i".repeat(201)).status shouldBe 404
                caller.turn("i".repeat(200), "x", program = "p".repeat(200)).status shouldBe 200
                target.received.size shouldBe 1
            }
        }

        describe("a turn that ends while the store is unavailable") {
            // Guards against turns that were answered whole during an outage and unknown after all gateways were killed.
            it("is completed once the store has it, and then found at another gateway") {
                fleet.target("e-1", EdgeFleet.LLM) {
                    // The turn has started by then: a turn that will be stored does not start without the store.
                    if (it.header("Chestnutloom-Attempt-Id") == "t1") fleet.store.fault = StoreFault.REFUSE
                    streamResponse(it, listOf("one"))
                }
                val first = RawCaller(fleet.gateway("g1"))
                val second = RawCaller(fleet.gateway("g2"))
                first.turn("t0", "a", program = "p").status shouldBe 200
                second.turn("t00", "a", program = "q").status shouldBe 200
                val ended = async { first.turn("t1", "b", previous = "t0", program = "p") }
                delay(1_000.milliseconds)
                ended.isCompleted shouldBe false
                fleet.store.fault = StoreFault.NONE
                ended.await().hasLastChunk shouldBe true
                second.turn("t2", "c", previous = "t1", program = "q").status shouldBe 200
            }

            it("does not look complete before, also when the target's response has a length") {
                val event = "id: 1\ndata: one\n\n"
                fleet.target("e-1", EdgeFleet.LLM) {
                    if (it.header("Chestnutloom-Attempt-Id") == "t1") fleet.store.fault = StoreFault.REFUSE
                    signedResponse(it, event)
                }
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turn("t0", "a", program = "p").status shouldBe 200
                val response = caller.turn("t1", "b", previous = "t0", program = "p")
                response.header("Content-Length") shouldBe null
                response.hasLastChunk shouldBe false
            }

            it("does not look complete when the store stays unavailable while the caller waits") {
                fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turn("t0", "a", program = "p").status shouldBe 200
                fleet.store.fault = StoreFault.REFUSE
                caller.turn("t1", "b", previous = "t0", program = "p").hasLastChunk shouldBe false
                fleet.store.fault = StoreFault.NONE
                val other = RawCaller(fleet.gateway("g2"))
                withTimeout(20.seconds) { eventually { other.turn("t2", "c", previous = "t1").status == 404 } }
            }
        }

        describe("a turn that arrives while the store is known to be unavailable") {
            it("is refused at once as not run, with a retry time") {
                val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turn("t0", "a", program = "p").status shouldBe 200
                fleet.store.fault = StoreFault.REFUSE
                delay(2_500.milliseconds)
                val response = caller.turn("t1", "b", previous = "t0", program = "p")
                response.status shouldBe 503
                response.header("Retry-After") shouldBe "1.000"
                target.received.size shouldBe 1
            }
        }

        describe("a store that was unavailable for long") {
            it("is used again, even if it has lost its change history meanwhile") {
                fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one")) }
                val callers = listOf("g1", "g2").map { RawCaller(fleet.gateway(it)) }
                callers.map { it.turn("t1", "a").hasLastChunk } shouldBe listOf(true, true)
                // Each gateway assumes for a moment that the other one still reaches the store.
                fleet.store.fault = StoreFault.REFUSE
                fleet.store.discardHistory()
                delay(3_000.milliseconds)
                callers.map { it.turn("t2", "b").status } shouldBe listOf(503, 503)
                fleet.store.fault = StoreFault.NONE
                withTimeout(20.seconds) {
                    callers.forEach { caller -> eventually { caller.turn("t3", "c").hasLastChunk } }
                }
            }
        }

        describe("a turn whose response is aborted") {
            it("is not reported as complete and is not stored") {
                fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, listOf("one", "two"), isComplete = false) }
                val caller = RawCaller(fleet.gateway("g1"))
                val response = caller.turn("t1", "hello")
                response.text shouldContain "data: two"
                response.hasLastChunk shouldBe false
                caller.turn("t2", "x", previous = "t1").status shouldBe 404
            }
        }

        describe("a turn whose response has no length and ends with its connection") {
            fun undelimited(
                request: ReceivedRequest,
                vararg parts: String,
            ): ScriptedResponse {
                val head = responseHead(request) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                return ScriptedResponse(listOf(head) + parts, ConnectionAction.CLOSE, pause = 20.milliseconds)
            }

            // Guards against a target that was killed inside an event, whose stream ended as complete and was stored.
            it("is not reported as complete and is not stored if it ends inside an event") {
                fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, "id: 1\ndata: one\n\n", "id: 2\ndata: tw") }
                val caller = RawCaller(fleet.gateway("g1"))
                val response = caller.turn("t1", "hello")
                response.text shouldContain "data: tw"
                response.hasLastChunk shouldBe false
                caller.turn("t2", "x", previous = "t1").status shouldBe 404
            }

            it("is complete and stored if it ends between two events") {
                fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, "id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n") }
                val caller = RawCaller(fleet.gateway("g1"))
                caller.turn("t1", "hello").hasLastChunk shouldBe true
                caller.turn("t2", "x", previous = "t1").status shouldBe 200
            }
        }

        describe("a program's budget") {
            it("is enforced across gateways by refusing further turns") {
                val target = fleet.target("e-1", EdgeFleet.LLM) { streamResponse(it, List(10) { "x" }) }
                val first = RawCaller(fleet.gateway("g1"))
                val second = RawCaller(fleet.gateway("g2"))
                val statuses =
                    (1..6).map {
                        listOf(
                            first,
                            second,
                        )[it % 2].turn("t$it", "x", program = "p", budget = 400).status
                    }
                statuses shouldBe listOf(200, 200, 200, 200, 402, 402)
                target.received.size shouldBe 4
            }
        }

        describe("a graceful shutdown") {
            it("completes a response in progress") {
                fleet.target("e-1", EdgeFleet.LLM) { request ->
                    ScriptedResponse(streamResponse(request, List(10) { "x" }).chunks, pause = 300.milliseconds)
                }
                val caller = RawCaller(fleet.gateway("g1"))
                val response = async { caller.turn("t1", "hello") }
                delay(300.milliseconds)
                fleet.stopGateway("g1")
                response.await().hasLastChunk shouldBe true
            }
        }
    })
