package org.chestnutloom.integration.edge

import io.kotest.assertions.withClue
import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotBeIn
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import kotlin.time.Duration.Companion.milliseconds

/** A success that a target sends late, or a second time. */
private const val LATE_SUCCESS =
    "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nChestnutloom-Attempt-Id: old\r\n" +
        "Chestnutloom-Server-Signature: old\r\nContent-Length: 3\r\n\r\nold"

/** A refusal, with which a target states that it has not run a request. */
private const val LATE_REFUSAL =
    "HTTP/1.1 503 Service Unavailable\r\nChestnutloom-Not-Executed: 1\r\nChestnutloom-Attempt-Id: old\r\n" +
        "Content-Length: 0\r\n\r\n"

/** The beginnings of this response, one for each byte, without the whole response. */
private fun String.beginnings(): List<String> = indices.drop(1).map { take(it) }

/** The statuses that promise a caller that its request has not run. */
private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

/** The statuses of a caller whose target responded with 500, but whose response may not have been recognized. */
private val FAILURE_OR_LOST = setOf(500, 502)

private fun failure(request: ReceivedRequest): String = signedResponse(request, "failed", "500 Error").chunks.single()

private fun success(request: ReceivedRequest): String = signedResponse(request, "own").chunks.single()

private fun isFirst(request: ReceivedRequest): Boolean = request.target.endsWith("-first")

/** Fails if [response] has a part of another response, or another status than the target gave. */
private fun shouldNotBeMixed(response: RawResponse) {
    response.status shouldBeIn FAILURE_OR_LOST
    response.text.split("HTTP/1.1").size shouldBe 2
    response.text.contains("old") shouldBe false
    if (response.header("Chestnutloom-Server-Signature") != null) response.status shouldBe 500
}

class StutteredResponseSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("an incomplete second response") {
            // Guards against a status line that is joined to the headers of the next response.
            it("that arrives while its connection is idle has no effect on the next response") {
                var extra = ""
                var bytesToWrite = 0L
                val target =
                    fleet.target("i-1") {
                        val chunks = if (isFirst(it)) listOf(success(it), extra) else listOf(failure(it))
                        bytesToWrite += chunks.sumOf { chunk -> chunk.length }
                        ScriptedResponse(chunks, pause = 5.milliseconds)
                    }
                val caller = fleet.caller()
                LATE_SUCCESS.beginnings().forEachIndexed { index, beginning ->
                    extra = beginning
                    caller.send("POST", "/pay/$index-first").body shouldBe "own"
                    eventually { target.writtenBytes == bytesToWrite }
                    delay(15.milliseconds)
                    withClue(beginning) { shouldNotBeMixed(caller.send("POST", "/pay/$index")) }
                }
                target.received.size shouldBe 2 * (LATE_SUCCESS.length - 1)
            }

            // Guards against a status line that is joined to the headers of the next response.
            it("that arrives together with the end of a response has no effect on the next response") {
                var extra = ""
                fleet.target("i-1") { ScriptedResponse(listOf(if (isFirst(it)) success(it) + extra else failure(it))) }
                val caller = fleet.caller()
                LATE_SUCCESS.beginnings().forEachIndexed { index, beginning ->
                    extra = beginning
                    caller.send("POST", "/pay/$index-first").body shouldBe "own"
                    val response = caller.send("POST", "/pay/$index")
                    withClue(beginning) {
                        shouldNotBeMixed(response)
                        response.status shouldBe 500
                    }
                }
            }

            // Guards against a status line that is joined to the headers of the response behind it.
            it("that arrives just ahead of the next response is not joined to it") {
                var extra = ""
                fleet.target("i-1") { ScriptedResponse(listOf(if (isFirst(it)) success(it) else extra + failure(it))) }
                val caller = fleet.caller()
                LATE_SUCCESS.beginnings().forEachIndexed { index, beginning ->
                    extra = beginning
                    caller.send("POST", "/pay/$index-first").body shouldBe "own"
                    withClue(beginning) { shouldNotBeMixed(caller.send("POST", "/pay/$index")) }
                    withClue(beginning) { shouldNotBeMixed(caller.send("GET", "/plain/$index")) }
                }
            }

            // Guards against a request that runs at a second target, or is called not run, after it has run at a first.
            it("that is a refusal does not make a request that has run count as not run") {
                var extra: (ReceivedRequest) -> String = { "" }
                val script: (ReceivedRequest) -> ScriptedResponse = { ScriptedResponse(listOf(extra(it))) }
                val targets = listOf("i-1", "i-2").map { fleet.target(it, script = script) }
                val caller = fleet.caller()
                LATE_REFUSAL.beginnings().forEachIndexed { index, beginning ->
                    for (isAhead in listOf(true, false)) {
                        extra = { if (isAhead && !isFirst(it)) beginning + success(it) else success(it) + beginning }
                        repeat(2) { caller.send("POST", "/pay/$index-$isAhead-$it-first").body shouldBe "own" }
                        val response = caller.send("POST", "/pay/$index-$isAhead")
                        withClue(beginning) { response.status shouldNotBeIn NOT_RUN_STATUSES }
                    }
                }
                val received = targets.flatMap { it.received }.map { it.target }
                val runsByRequest = received.groupBy { it }
                runsByRequest.keys.filter { runsByRequest.getValue(it).size > 1 }.shouldBeEmpty()
            }
        }

        describe("a response with an ambiguous head") {
            val idLine: (ReceivedRequest) -> String = {
                "Chestnutloom-Attempt-Id: ${it.header("Chestnutloom-Attempt-Id")}\r\n"
            }
            val heads =
                mapOf<String, (ReceivedRequest) -> String>(
                    "two attempt ids" to { "Chestnutloom-Attempt-Id: old\r\nContent-Length: 3\r\n" },
                    "the same attempt id twice" to { idLine(it) + "Content-Length: 3\r\n" },
                    "two signatures" to { "Chestnutloom-Server-Signature: old\r\nContent-Length: 3\r\n" },
                    "two lengths" to { "Content-Length: 3\r\nContent-Length: 2\r\n" },
                    "the same length twice" to { "Content-Length: 3\r\nContent-Length: 3\r\n" },
                    "a list of lengths" to { "Content-Length: 3, 3\r\n" },
                    "a length and chunks" to { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" },
                    "two transfer codings" to { "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" },
                    "an unknown transfer coding" to { "Transfer-Encoding: old\r\nContent-Length: 3\r\n" },
                    "a status line among the headers" to { "HTTP/1.1 500 Error\r\nContent-Length: 3\r\n" },
                    "a status line as a header's name" to { "HTTP/1.1 500 Error: x\r\nContent-Length: 3\r\n" },
                    "a status line in a header" to { "Date: SatHTTP/1.1 500 Error\r\nContent-Length: 3\r\n" },
                    "a carriage return in a header" to { "Date: Sat\rx\r\nContent-Length: 3\r\n" },
                )
            val bodies = listOf("own", "3\r\nown\r\n0\r\n\r\n")

            for ((name, lines) in heads) {
                // Guards against headers of two responses that are taken for those of one.
                it("such as $name has an unknown outcome") {
                    var body = ""
                    val target =
                        fleet.target("i-1") { ScriptedResponse(listOf(responseHead(it) + lines(it) + "\r\n" + body)) }
                    val caller = fleet.caller()
                    for (next in bodies) {
                        body = next
                        caller.send("POST", "/pay/${next.length}").status shouldBe 502
                    }
                    target.received.size shouldBe bodies.size
                }
            }

            val statusLines =
                listOf(
                    "HTTP/1.1 200 HTTP/1.1 500 Error",
                    "HTTP/1.1 200 OKHTTP/1.1 500 Error",
                    "HTTP/1.1 200 OK\rHTTP/1.1 500 Error",
                    "HHTTP/1.1 200 OK",
                    "http/1.1 200 OK",
                    "HTTP/1.2 200 OK",
                    "HTTP/2.0 200 OK",
                    "HTTP/1.1 0200 OK",
                    "HTTP/1.1 +200 OK",
                    "HTTP/1.1 20 OK",
                )
            for (statusLine in statusLines) {
                // Guards against the status line of another response.
                it("such as the status line ${statusLine.replace('\r', '|')} has an unknown outcome") {
                    fleet.target("i-1") { request ->
                        val rest = success(request).substringAfter("\r\n")
                        ScriptedResponse(listOf("$statusLine\r\n$rest"))
                    }
                    fleet.caller().send("POST", "/pay/1").status shouldBe 502
                }
            }

            // Guards against a request that waits for a response that another one has swallowed.
            it("such as a switch of protocols fails the exchange at once") {
                val late = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n\r\n"
                fleet.target("i-1") { ScriptedResponse(listOf(late + success(it))) }
                // At the deadline it would be 504.
                fleet.caller().send("POST", "/pay/1").status shouldBe 502
            }
        }

        describe("a response without an attempt id") {
            // Guards against a response to an earlier request that was not run.
            it("is not taken for the response on a connection whose first request was not run") {
                val refusal = "HTTP/1.1 503 Full\r\nChestnutloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                // The second refusal arrives together with the first one, or while the connection is idle.
                val endings = listOf(listOf(refusal + refusal), listOf(refusal, refusal))
                endings.forEachIndexed { index, ending ->
                    val target =
                        fleet.target("i-1") { request ->
                            val chunks = if (isFirst(request)) ending else listOf(success(request))
                            ScriptedResponse(chunks, pause = 5.milliseconds)
                        }
                    val caller = if (index == 0) fleet.caller() else RawCaller(fleet.gateway("g2"))
                    caller.send("POST", "/pay/$index-first").status shouldBe 503
                    caller.send("POST", "/pay/$index").body shouldBe "own"
                    delay(50.milliseconds)
                    caller.send("POST", "/pay/$index-again").body shouldBe "own"
                    // The connection with the refusals serves no other request, the next one does.
                    target.connections shouldBe 2
                }
            }

            // Guards against a response on a connection that has already brought one of another request.
            it("is not taken for the response behind one to another request") {
                fleet.target("i-1") { request ->
                    val own = "HTTP/1.1 200 OK\r\nChestnutloom-Server-Signature: s\r\nContent-Length: 3\r\n\r\nold"
                    ScriptedResponse(listOf(LATE_SUCCESS + own + failure(request)))
                }
                fleet.caller().send("POST", "/pay/1").status shouldBe 500
            }
        }

        describe("a late response to another request") {
            // Guards against a request that waits for a response that another one has swallowed.
            it("without a length fails the exchange at once, since the next response cannot be told from its body") {
                val late = "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: old\r\n\r\nold"
                val target =
                    fleet.target("i-1") {
                        ScriptedResponse(listOf(if (isFirst(it)) success(it) else late + success(it)))
                    }
                val caller = fleet.caller()
                caller.send("POST", "/pay/1-first").body shouldBe "own"
                // At the deadline it would be 504.
                caller.send("POST", "/pay/1").status shouldBe 502
                target.received.size shouldBe 2
            }

            // Guards against the body of a late response that is taken for the response to HEAD behind it.
            it("fails the exchange of a HEAD request, since its body is not decoded then") {
                fleet.target("i-1") {
                    val body = responseHead(it) + "Content-Length: 0\r\n\r\n"
                    val lateHead = "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: old\r\n"
                    val late = lateHead + "Content-Length: ${body.length}\r\n\r\n"
                    val own = responseHead(it, "500 Error") + "Content-Length: 3\r\n\r\n"
                    ScriptedResponse(listOf(if (isFirst(it)) success(it) else late + body + own))
                }
                val caller = fleet.caller()
                caller.send("POST", "/pay/1-first").body shouldBe "own"
                caller.send("HEAD", "/pay/1").status shouldBe 502
            }

            it("that has no body is skipped") {
                val late = "HTTP/1.1 204 No Content\r\nChestnutloom-Attempt-Id: old\r\n\r\n"
                fleet.target("i-1") { ScriptedResponse(listOf(if (isFirst(it)) success(it) else late + success(it))) }
                val caller = fleet.caller()
                caller.send("POST", "/pay/1-first").body shouldBe "own"
                caller.send("POST", "/pay/1").body shouldBe "own"
            }
        }
    })
