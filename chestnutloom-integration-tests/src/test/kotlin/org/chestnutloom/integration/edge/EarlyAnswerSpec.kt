package org.chestnutloom.integration.edge

import io.kotest.assertions.withClue
import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.responseHead

private const val HALF = "half of it"
private const val UPLOAD_BYTES = 900_000

/** Fits into the buffers of a socket, so that it is sent as far as its sender can tell. */
private const val SMALL_UPLOAD_BYTES = 30_000

private fun half(
    callId: String,
    contentType: String,
): String =
    "HTTP/1.1 200 OK\r\nChestnutloom-Attempt-Id: $callId\r\nChestnutloom-Server-Signature: sig\r\n" +
        "Content-Type: $contentType\r\nConnection: close\r\n\r\n" +
        if (contentType == "text/plain") HALF else "id: 1\ndata: $HALF\n\n"

/** Whether the caller can take [response] for a whole success. */
private fun looksComplete(response: RawResponse): Boolean {
    if (response.status != 200 || response.isReset) return false
    val length = response.header("Content-Length")?.toInt() ?: return response.hasLastChunk
    return response.body.length == length
}

class EarlyAnswerSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach {
            fleet.start()
            val routes =
                listOf("streaming", "idempotent", "non_idempotent")
                    .joinToString("") { "," + fleet.route(it, it, EdgeFleet.PLAIN, maxAttempts = 1) }
            fleet.configure(version = 1, extraRoutes = routes)
        }
        afterEach { fleet.stop() }

        describe("an answer without a length whose connection ends while its upload is still being sent") {
            // Guards against half of an answer that reaches its caller as the whole one (issue 47, MIXED).
            val uploads = listOf(UPLOAD_BYTES, SMALL_UPLOAD_BYTES)
            val cells = EarlyEnd.entries.flatMap { end -> uploads.map { end to it } }
            cells.forEach { (end, uploadBytes) ->
                it("is not told as whole if the target ends with $end and the upload has $uploadBytes bytes") {
                    val caller = RawCaller(fleet.gateway("g1"))
                    for (contentType in listOf("text/plain", "text/event-stream")) {
                        for (pauseMs in listOf(0L, 30L, 120L)) {
                            val answer = { id: String -> half(id, contentType) }
                            EarlyAnswerTarget(readBytes = 1_000, answer, end, pauseMs).use { target ->
                                fleet.putTarget("s-1", EdgeFleet.PLAIN, target.port)
                                eventually { caller.send("POST", "/idempotent/1", body = "x").status != 503 }
                                for (route in listOf("streaming", "idempotent", "non_idempotent")) {
                                    val response = caller.send("POST", "/$route/1", body = "x".repeat(uploadBytes))
                                    withClue("$route $contentType $pauseMs ms: ${response.text.take(400)}") {
                                        looksComplete(response) shouldBe false
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }

        describe("an answer with a status that HTTP does not have") {
            // Guards against answers that are no answer of a target in the protocol (issue 47, MIXED).
            listOf("000", "099", "0", "20", "2000", "-200", "600", "999").forEach { status ->
                it("$status is not passed on") {
                    val target =
                        fleet.target("s-2") {
                            ScriptedResponse(listOf(responseHead(it, "$status Odd") + "Content-Length: 4\r\n\r\nodd!"))
                        }
                    val caller = RawCaller(fleet.gateway("g1"))
                    val response = caller.send("POST", "/non_idempotent/1", body = "x")
                    response.status shouldBe 502
                    response.header("Chestnutloom-Server-Signature") shouldBe null
                    // A call that may run once is not tried again.
                    target.received.size shouldBe 1
                }
            }
        }
    })
