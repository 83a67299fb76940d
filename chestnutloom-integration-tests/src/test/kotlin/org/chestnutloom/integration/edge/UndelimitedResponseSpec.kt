package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val EVENTS = listOf("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")

/** More than a gateway buffers of a plain response. */
private val LONG_BODY = "x".repeat(400_000)

private fun undelimited(
    request: ReceivedRequest,
    parts: List<String>,
    end: ConnectionAction,
    status: String = "200 OK",
    pause: Duration = 20.milliseconds,
    contentType: String = "text/event-stream",
): ScriptedResponse {
    val head = responseHead(request, status) + "Content-Type: $contentType\r\nConnection: close\r\n\r\n"
    return ScriptedResponse(listOf(head) + parts, end, pause)
}

private fun undelimitedText(
    request: ReceivedRequest,
    text: String,
    end: ConnectionAction,
): ScriptedResponse = undelimited(request, listOf(text), end, contentType = "text/plain")

class UndelimitedResponseSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach {
            fleet.start()
            val talk = fleet.route("talk", "streaming", EdgeFleet.LLM, maxAttempts = 1)
            fleet.configure(version = 1, extraRoutes = ",$talk")
        }
        afterEach { fleet.stop() }

        suspend fun caller() = RawCaller(fleet.gateway("g1"))

        describe("a stream without a length or chunks") {
            // Guards against a target that was killed between two events, whose streams ended as complete.
            it("is broken off if its target was killed between two events") {
                fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, EVENTS, ConnectionAction.CRASH) }
                val response = caller().send("POST", "/talk/1")
                response.text shouldContain "data: two"
                response.hasLastChunk shouldBe false
            }

            // Guards against turns that were stored with a part of their output because the target was killed.
            it("is broken off and not stored as a turn if its target was killed between two events") {
                fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, EVENTS, ConnectionAction.CRASH) }
                val caller = caller()
                caller.send("POST", "/chat/1", id = "t1").hasLastChunk shouldBe false
                val next = caller.send("POST", "/chat/2", headers = mapOf("Chestnutloom-Previous-Turn" to "t1"))
                next.status shouldBe 404
            }

            // Guards against the end of a connection that is noticed only once the caller reads again.
            listOf(ConnectionAction.CRASH, ConnectionAction.RESET).forEach { end ->
                it("is broken off if its target ended it with $end while the caller did not read") {
                    val events = List(90) { "id: $it\ndata: ${"x".repeat(64 * 1024)}\n\n" }
                    val target =
                        fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, events, end, pause = Duration.ZERO) }
                    val response =
                        caller().sendWithoutReading("POST", "/talk/1", callerTimeoutMs = 4_000, waitMs = 1_000)
                    target.writtenBytes shouldBe events.sumOf { it.length } + headLengthOf(target.received.single())
                    response().hasLastChunk shouldBe false
                }
            }

            // Guards against an end that arrives late, as behind a cut, when another process may listen at the address.
            it("is broken off if its connection ends long after its last event") {
                fleet.target("e-1", EdgeFleet.LLM) {
                    undelimited(it, EVENTS + "", ConnectionAction.CLOSE, pause = 1_200.milliseconds)
                }
                val response = caller().send("POST", "/talk/1", callerTimeoutMs = 8_000)
                response.text shouldContain "data: two"
                response.hasLastChunk shouldBe false
            }

            it("is broken off if it is reset between two events") {
                fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, EVENTS, ConnectionAction.RESET) }
                caller().send("POST", "/talk/1").hasLastChunk shouldBe false
            }

            it("is broken off if the gateway's grace period ends before it") {
                fleet.gracePeriod = 1.5.seconds
                fleet.target("e-1", EdgeFleet.LLM) { request ->
                    val head = responseHead(request) + "Connection: close\r\n\r\n"
                    ScriptedResponse(listOf(head, EVENTS[0]), pause = 20.milliseconds, isEndless = true)
                }
                val caller = caller()
                val response = async { caller.send("POST", "/talk/1") }
                delay(200.milliseconds)
                fleet.stopGateway("g1")
                response.await().text shouldContain "data: one"
                response.await().hasLastChunk shouldBe false
            }

            it("is complete if its target goes on listening") {
                fleet.target("e-1", EdgeFleet.LLM) { undelimited(it, EVENTS, ConnectionAction.CLOSE) }
                val caller = caller()
                repeat(3) { caller.send("POST", "/talk/$it").hasLastChunk shouldBe true }
            }
        }

        describe("a plain response without a length or chunks") {
            // Guards against the first bytes of a body, framed as the whole of it because its target was killed.
            it("is read from another target if its target was killed and the route is idempotent") {
                val received = AtomicInteger()
                for (id in listOf("i-1", "i-2")) {
                    fleet.target(id) {
                        val killed = undelimitedText(it, "part", ConnectionAction.CRASH)
                        if (received.getAndIncrement() == 0) killed else signedResponse(it, "whole")
                    }
                }
                caller().send("GET", "/plain/1").body shouldBe "whole"
                received.get() shouldBe 2
            }

            // Guards against the first bytes of a body, framed as the whole of it because its target was killed.
            it("has an unknown outcome if its target was killed and the route is not idempotent") {
                val target = fleet.target("i-1") { undelimitedText(it, "part", ConnectionAction.CRASH) }
                caller().send("POST", "/pay/1").status shouldBe 502
                target.received shouldHaveSize 1
            }

            // Guards against the first bytes of a body that was too long to buffer, which ended as complete.
            it("is broken off if its target was killed and it was passed on in part") {
                fleet.target("i-1") { undelimitedText(it, LONG_BODY, ConnectionAction.CRASH) }
                val response = caller().send("GET", "/plain/1")
                response.status shouldBe 200
                response.hasLastChunk shouldBe false
            }

            it("is complete if its target goes on listening") {
                fleet.target("i-1") { request ->
                    val body = if (request.target.endsWith("/long")) LONG_BODY else "short"
                    undelimitedText(request, body, ConnectionAction.CLOSE)
                }
                val caller = caller()
                repeat(3) { caller.send("POST", "/pay/short").body shouldBe "short" }
                caller.send("POST", "/pay/long").hasLastChunk shouldBe true
            }
        }

        describe("the connection that was opened to see whether a target goes on listening") {
            // Guards against a request on a connection that its target closes sooner than the gateway expects.
            it("is not used after the time that the target states for idle connections") {
                val target =
                    fleet.target("i-1") { request ->
                        val stated = responseHead(request) + "Keep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nwhole"
                        val isWhole = request.target.endsWith("/whole")
                        if (isWhole) {
                            ScriptedResponse(
                                listOf(stated),
                            )
                        } else {
                            undelimitedText(request, "end", ConnectionAction.CLOSE)
                        }
                    }
                val caller = caller()
                caller.send("POST", "/pay/whole").body shouldBe "whole"
                caller.send("POST", "/pay/end").body shouldBe "end"
                // The target may count the connection only after the gateway has its response.
                eventually { target.connections == 2 }
                delay(1.seconds)
                caller.send("POST", "/pay/whole").body shouldBe "whole"
                target.connections shouldBe 3
            }
        }

        describe("a response without a body") {
            listOf("POST" to "204 No Content", "POST" to "304 Not Modified", "HEAD" to "200 OK")
                .forEach { (method, status) ->
                    it("with $status to $method is complete, even if its target was killed afterwards") {
                        fleet.target("i-1") { undelimited(it, emptyList(), ConnectionAction.CRASH, status) }
                        val response = caller().send(method, "/pay/1")
                        response.text.substringBefore("\r\n") shouldEndWith status
                    }
                }
        }
    })

private fun headLengthOf(request: ReceivedRequest): Int =
    undelimited(request, emptyList(), ConnectionAction.CLOSE).chunks.single().length
