package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import org.chestnutloom.fakes.edge.streamResponse

/** What a gateway may read of an endless response, including the buffers of both sockets. */
private const val MAX_READ_BYTES = 32L * 1024 * 1024
private val FILLER = "x".repeat(16_384)

private fun endless(vararg chunks: String) = ScriptedResponse(chunks.toList(), isEndless = true)

private fun chunked(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"

private fun chunkedHead(request: ReceivedRequest) = responseHead(request) + "Transfer-Encoding: chunked\r\n\r\n"

/** Endless bytes before or in the head of a response to a plain request. */
private val HEADS =
    mapOf<String, (ReceivedRequest) -> ScriptedResponse>(
        "empty lines" to { endless("\r\n".repeat(8_192)) },
        "control characters" to { endless("\u0001".repeat(16_384)) },
        "a status line" to { endless(FILLER) },
        "a header line" to { endless(responseHead(it) + "X-Filler: ", FILLER) },
        "header lines" to { endless(responseHead(it), "X-Filler: ${"x".repeat(64)}\r\n") },
        "interim responses" to { endless("HTTP/1.1 100 Continue\r\n\r\n".repeat(64)) },
        "the body of a response to another request" to {
            endless(
                "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
                chunked(FILLER),
            )
        },
    )

/** Endless bytes in the body of a response to a request for a stream. */
private val BODIES =
    mapOf<String, (ReceivedRequest) -> ScriptedResponse>(
        "a line of the event stream" to { endless(chunkedHead(it), chunked(FILLER)) },
        "a chunk size" to { endless(chunkedHead(it), "1".repeat(16_384)) },
        "fields of one event" to { endless(chunkedHead(it), chunked("data: ${"x".repeat(1_000)}\n".repeat(16))) },
        "a body without a length" to { endless(responseHead(it) + "\r\n", FILLER) },
    )

/** Endless bytes in the body of a response to a plain request. */
private val PLAIN_BODIES =
    mapOf<String, (ReceivedRequest) -> ScriptedResponse>(
        "a chunked body" to { endless(chunkedHead(it), chunked(FILLER)) },
        "a body without a length" to { endless(responseHead(it) + "\r\n", FILLER) },
        "the trailers of a body" to { endless(chunkedHead(it) + "0\r\n", "X-Filler: ${"x".repeat(64)}\r\n") },
    )

class EndlessResponseSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a target that sends bytes without end") {
            // Guards against a target in trouble that takes the gateway's memory, or the requests that follow.
            HEADS.forEach { (name, script) ->
                it("as $name gets the connection closed, and the request ends with an unknown outcome") {
                    val target =
                        fleet.target("i-1") { if (it.target.endsWith("/1")) script(it) else signedResponse(it, "own") }
                    val caller = fleet.caller()
                    caller.send("POST", "/pay/1").status shouldBeIn listOf(502, 504)
                    eventually { target.endedByCaller == 1 }
                    target.writtenBytes shouldBeLessThan MAX_READ_BYTES
                    caller.send("POST", "/pay/2").body shouldBe "own"
                }
            }

            PLAIN_BODIES.forEach { (name, script) ->
                it("as $name to a plain request is read no faster than the caller reads, and never looks complete") {
                    val target =
                        fleet.target("i-1") { if (it.target.endsWith("/1")) script(it) else signedResponse(it, "own") }
                    val caller = fleet.caller()
                    val response = caller.sendWithoutReading("GET", "/plain/1", callerTimeoutMs = 1_500)
                    target.writtenBytes shouldBeLessThan MAX_READ_BYTES
                    eventually { target.endedByCaller >= 1 }
                    response().hasLastChunk shouldBe false
                    caller.send("POST", "/pay/2").body shouldBe "own"
                }
            }

            BODIES.forEach { (name, script) ->
                it("as $name gets the connection closed, and the stream does not look complete") {
                    val target =
                        fleet.target("i-1", EdgeFleet.LLM) {
                            if (it.target.endsWith("/1")) script(it) else streamResponse(it, listOf("own"))
                        }
                    val caller = fleet.caller()
                    caller.send("POST", "/chat/1").hasLastChunk shouldBe false
                    eventually { target.endedByCaller == 1 }
                    target.writtenBytes shouldBeLessThan MAX_READ_BYTES
                    val next = caller.send("POST", "/chat/2")
                    next.hasLastChunk shouldBe true
                    next.status shouldBe 200
                    next.body shouldNotBe ""
                }
            }
        }
    })
