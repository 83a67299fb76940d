package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import java.util.concurrent.atomic.AtomicInteger

private const val EVENT_STREAM = "text/event-stream; charset=utf-8"
private const val OK = 200
private const val BAD_GATEWAY = 502

/** Requests at the same time, few enough that one target has slots for all. */
private const val LANES = 4

/** More than the three to which an idempotent request may be sent. */
private const val TARGETS = 6

/** An event, a comment and another event. */
private val STREAM_PIECES = listOf("id: 1\ndata: first\n\n", ": comment\n", "id: 2\ndata: second\n\n")
private val STREAM = STREAM_PIECES.joinToString("")

/** The lengths after which the stream is not inside an event. */
private val LENGTHS_BETWEEN_EVENTS = STREAM_PIECES.runningFold(0) { length, piece -> length + piece.length }.toSet()

/** More events than a gateway buffers of a response. */
private val LONG_STREAM = (1..3_000).joinToString("") { "id: $it\ndata: ${"x".repeat(100)}\n\n" }

private val ROUTES =
    listOf(
        CutRoute("a request that is not idempotent", "POST", "pay", EdgeFleet.PLAIN, emptyList()),
        CutRoute("an idempotent request", "GET", "plain", EdgeFleet.PLAIN, emptyList()),
        CutRoute("a request for a stream", "POST", "stream", EdgeFleet.LLM, emptyList()),
        CutRoute("a turn", "POST", "chat", EdgeFleet.LLM, emptyList()),
    )

/** Returns the response to [request] whose frame says that [body] is whole, from a target that lives on. */
private fun wholeFrame(
    request: ReceivedRequest,
    framing: BodyFraming,
    body: String,
    contentType: String = EVENT_STREAM,
): ScriptedResponse {
    val pieces = listOf(body).filter { it.isNotEmpty() }
    val text = FramedResponse(request, framing, pieces, contentType = contentType).text
    val end = if (framing == BodyFraming.CLOSE) ConnectionAction.CLOSE else ConnectionAction.KEEP_ALIVE
    return ScriptedResponse(listOf(text), end)
}

private fun lengthOf(request: ReceivedRequest) = request.target.substringAfterLast('/').toInt()

/** Returns what is wrong with [received] if the stream's first [length] bytes were its whole body, or null. */
private fun faultOf(
    received: RawResponse,
    framing: BodyFraming,
    length: Int,
): String? {
    val body = received.receivedBody()
    val isWhole = received.status == OK && body.isWhole
    val isEmptyWithoutFrame = length == 0 && framing == BodyFraming.CLOSE
    val isRight =
        when {
            length in LENGTHS_BETWEEN_EVENTS && !isEmptyWithoutFrame -> isWhole && body.content == STREAM.take(length)
            received.status == OK -> !body.isWhole && STREAM.startsWith(body.content)
            else -> received.status == BAD_GATEWAY
        }
    if (isRight) return null
    return "$length bytes of ${STREAM.length}: ${received.status}, ${if (isWhole) "complete" else "broken off"}"
}

class HalfStreamSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        suspend fun callerOf(
            service: String,
            script: (ReceivedRequest) -> ScriptedResponse,
        ): RawCaller {
            repeat(TARGETS) { fleet.target("i-$it", service, script) }
            fleet.configure(1, extraRoutes = "," + fleet.route("stream", "streaming", EdgeFleet.LLM, maxAttempts = 1))
            return RawCaller(fleet.gateway("g1"))
        }

        /** Returns the faults of all lengths of the stream, sent by some callers at the same time. */
        suspend fun faultsOf(
            route: CutRoute,
            framing: BodyFraming,
        ): List<String> {
            val caller = callerOf(route.service) { wholeFrame(it, framing, STREAM.take(lengthOf(it))) }
            return coroutineScope {
                val faults =
                    (0 until LANES).map { lane ->
                        async(Dispatchers.IO) {
                            (lane..STREAM.length step LANES).mapNotNull { length ->
                                val received = caller.send(route.method, "/${route.name}/$length", id = "half-$length")
                                faultOf(received, framing, length)
                            }
                        }
                    }
                faults.awaitAll().flatten()
            }
        }

        // Guards against a stream that its target left in the middle of an event and that reached its caller as whole.
        ROUTES.forEach { route ->
            describe("an event stream in response to ${route.label}") {
                BodyFraming.entries.forEach { framing ->
                    it("that ends at any byte, with ${framing.label}, is complete only between two events") {
                        faultsOf(route, framing) shouldBe emptyList()
                    }
                }
            }
        }

        // Guards against a half stream that is too long to buffer and reached its caller as whole.
        describe("an event stream that is too long to buffer, in response to an idempotent request") {
            BodyFraming.entries.forEach { framing ->
                it("with ${framing.label}, is complete only between two events") {
                    val caller =
                        callerOf(EdgeFleet.PLAIN) {
                            val body = if (it.target.endsWith("/half")) LONG_STREAM.dropLast(1) else LONG_STREAM
                            wholeFrame(it, framing, body)
                        }
                    caller.send("GET", "/plain/half").receivedBody().isWhole shouldBe false
                    val whole = caller.send("GET", "/plain/whole").receivedBody()
                    whole.isWhole shouldBe true
                    whole.content shouldBe LONG_STREAM
                }
            }
        }

        // Guards against an idempotent request that fails, or gets a half stream, though another target has the whole.
        describe("an event stream that ends inside an event, in response to an idempotent request") {
            BodyFraming.entries.forEach { framing ->
                it("with ${framing.label}, is read from another target") {
                    val received = AtomicInteger()
                    val caller =
                        callerOf(EdgeFleet.PLAIN) {
                            val isFirst = received.getAndIncrement() == 0
                            wholeFrame(it, framing, if (isFirst) STREAM.dropLast(1) else STREAM)
                        }
                    val body = caller.send("GET", "/plain/1").receivedBody()
                    body.isWhole shouldBe true
                    body.content shouldBe STREAM
                    received.get() shouldBe 2
                }
            }
        }

        // Guards against a half stream that was kept as a turn, from which the next turn went on.
        describe("a turn whose stream ends inside an event") {
            BodyFraming.entries.forEach { framing ->
                it("with ${framing.label}, is not stored") {
                    val caller = callerOf(EdgeFleet.LLM) { wholeFrame(it, framing, STREAM.dropLast(1)) }
                    caller.send("POST", "/chat/1", id = "t1")
                    val next = caller.send("POST", "/chat/2", headers = mapOf("Chestnutloom-Previous-Turn" to "t1"))
                    next.status shouldBe 404
                }
            }
        }

        // Guards against whole responses that are broken off because their bytes are taken for those of a stream.
        describe("a response that is no event stream") {
            ROUTES.forEach { route ->
                BodyFraming.entries.forEach { framing ->
                    it("to ${route.label}, with ${framing.label}, is complete without an empty line at its end") {
                        val caller = callerOf(route.service) { wholeFrame(it, framing, "data: text", "text/plain") }
                        val body = caller.send(route.method, "/${route.name}/1").receivedBody()
                        body.isWhole shouldBe true
                        body.content shouldBe "data: text"
                    }
                }
            }
        }
    })
