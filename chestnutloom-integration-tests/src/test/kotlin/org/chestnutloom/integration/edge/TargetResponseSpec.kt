package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

class TargetResponseSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a target's response") {
            it("that arrives late, ahead of the next one, is not matched to another request") {
                var earlier = ""
                fleet.target("i-1") { request ->
                    val stray = earlier
                    earlier =
                        "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: old\r\nChestnutloom-Server-Signature: s\r\nContent-Length: 3\r\n\r\nold"
                    ScriptedResponse(listOf(stray + signedResponse(request, "own").chunks.single()))
                }
                val caller = fleet.caller()
                caller.send("POST", "/pay/1").body shouldBe "own"
                caller.send("POST", "/pay/2").body shouldBe "own"
            }

            it("ends at its content length when more bytes follow") {
                fleet.target("i-1") {
                    ScriptedResponse(
                        signedResponse(it, "own").chunks + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                    )
                }
                val caller = fleet.caller()
                (1..3).map { caller.send("GET", "/plain/$it").body }.toSet() shouldBe setOf("own")
            }

            it("without an attempt id is not taken for the response to the next request") {
                val target =
                    fleet.target("i-1") { request ->
                        val late = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
                        val own = signedResponse(request, "own").chunks
                        ScriptedResponse(if (request.target.endsWith("/1")) own else listOf(late) + own)
                    }
                val caller = fleet.caller()
                caller.send("POST", "/pay/1").body shouldBe "own"
                delay(50.milliseconds)
                caller.send("POST", "/pay/2").body shouldBe "own"
                target.connections shouldBe 1
            }

            it("without a length is complete when its connection is closed, and incomplete when it is reset") {
                fleet.target("i-1") { request ->
                    val end = if ("reset" in request.target) ConnectionAction.RESET else ConnectionAction.CLOSE
                    ScriptedResponse(listOf(responseHead(request) + "\r\nsome", " bytes"), end, pause = 20.milliseconds)
                }
                val caller = fleet.caller()
                caller.send("POST", "/pay/close").body shouldBe "some bytes"
                caller.send("POST", "/pay/reset").status shouldBe 502
            }

            // Guards against the error of another target in the middle of a stream that was broken off.
            it("that is broken off after it was passed on in part is not continued by another target") {
                val broken: (ReceivedRequest) -> ScriptedResponse = {
                    val start = responseHead(it) + "Transfer-Encoding: chunked\r\n\r\n"
                    val part = "x".repeat(400_000)
                    val chunk = "${part.length.toString(radix = 16)}\r\n$part\r\n"
                    ScriptedResponse(listOf(start, chunk), ConnectionAction.CLOSE, pause = 20.milliseconds)
                }
                val error: (ReceivedRequest) -> ScriptedResponse = { signedResponse(it, "failure", "500 Error") }
                val received = AtomicInteger()
                for (service in listOf(EdgeFleet.PLAIN, EdgeFleet.LLM)) {
                    repeat(2) { index ->
                        fleet.target("$service-$index", service) {
                            if (received.getAndIncrement() % 2 == 0) broken(it) else error(it)
                        }
                    }
                }
                val caller = fleet.caller()
                for (path in listOf("/plain/1", "/chat/1")) {
                    val response = caller.send("POST", path)
                    response.status shouldBe 200
                    response.text.contains("failure") shouldBe false
                    response.text.split("HTTP/1.1").size shouldBe 2
                    response.hasLastChunk shouldBe false
                    received.getAndSet(0) shouldBe 1
                }
            }

            it("that is closed before its length is reached has an unknown outcome") {
                fleet.target("i-1") {
                    ScriptedResponse(
                        listOf(responseHead(it) + "Content-Length: 10\r\n\r\nshort"),
                        ConnectionAction.CLOSE,
                        pause = 20.milliseconds,
                    )
                }
                fleet.caller().send("POST", "/pay/1").status shouldBe 502
            }

            // Guards against requests to a target that shuts down while the gateway has not read its row yet.
            it("that says that the target leaves is relayed, and later requests go to other targets") {
                val leaving =
                    fleet.target("i-1") {
                        ScriptedResponse(
                            listOf(responseHead(it) + "Server-Leaving: 1\r\nContent-Length: 3\r\n\r\nbye"),
                        )
                    }
                val caller = fleet.caller()
                caller.send("POST", "/pay/1").body shouldBe "bye"
                val staying = fleet.target("i-2") { signedResponse(it, "here") }
                eventually { caller.send("POST", "/pay/2").body == "here" }
                repeat(5) { caller.send("POST", "/pay/${3 + it}").body shouldBe "here" }
                leaving.received.size shouldBe 1
                staying.received.size shouldBe 6
            }

            it("that is not HTTP is not relayed to the caller") {
                fleet.target("i-1") { ScriptedResponse(listOf("what is this\r\n\r\n")) }
                val response = fleet.caller().send("POST", "/pay/1")
                response.status shouldBe 502
                response.body shouldBe ""
            }

            it("to a long request body may arrive before that body has been read") {
                fleet.target("i-1") { signedResponse(it, "early") }
                fleet.caller().send("POST", "/pay/1", body = "x".repeat(500_000)).body shouldBe "early"
            }
        }
    })
