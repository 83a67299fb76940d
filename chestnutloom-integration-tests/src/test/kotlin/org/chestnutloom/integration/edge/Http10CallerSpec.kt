package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.signedResponse
import kotlin.time.Duration.Companion.milliseconds

private const val STREAM = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n"

private fun requestOf(path: String) =
    "POST $path HTTP/1.0\r\nHost: a.example\r\nContent-Length: 0\r\nAuthorization: Token key-a\r\n" +
        "Chestnutloom-Attempt-Id: attempt-1\r\nChestnutloom-Deadline-Ms: 4000\r\n\r\n"

/** Returns a stream in chunks, of which the whole arrives before its end; without its last chunk if it is [cut]. */
private fun stream(
    request: ReceivedRequest,
    cut: Boolean,
): ScriptedResponse {
    val text = FramedResponse(request, BodyFraming.CHUNKS, listOf(STREAM), contentType = "text/event-stream").text
    val end = text.length - if (cut) "0\r\nX-Sum: 12\r\n\r\n".length else 0
    return ScriptedResponse(listOf(text.take(end), ""), ConnectionAction.CLOSE, pause = 100.milliseconds)
}

class Http10CallerSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a caller that speaks HTTP/1.0") {
            it("gets a stream without chunks, which ends with its connection") {
                fleet.target("e-1", EdgeFleet.LLM) { stream(it, cut = false) }
                val response = fleet.caller().exchange(requestOf("/chat/1"))
                response.status shouldBe 200
                response.header("Transfer-Encoding") shouldBe null
                response.body shouldBe STREAM
                response.isReset shouldBe false
            }

            // Guards against a stream that was broken off and whose connection was closed in order, as if it were whole.
            it("gets its connection reset if the stream is broken off") {
                fleet.target("e-1", EdgeFleet.LLM) { stream(it, cut = true) }
                val response = fleet.caller().exchange(requestOf("/chat/1"))
                STREAM shouldStartWith response.body
                response.isReset shouldBe true
            }

            it("gets a plain response with its length, and its connection closed") {
                fleet.target("i-1") { signedResponse(it, "own") }
                val response = fleet.caller().exchange(requestOf("/pay/1"))
                response.body shouldBe "own"
                response.header("Content-Length") shouldBe "3"
                response.isReset shouldBe false
            }
        }
    })
