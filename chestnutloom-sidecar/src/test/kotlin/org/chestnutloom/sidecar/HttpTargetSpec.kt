package org.chestnutloom.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.toList
import org.chestnutloom.id.CallId
import org.chestnutloom.sidecar.target.HttpTarget
import org.chestnutloom.sidecar.target.TargetEvent
import org.chestnutloom.sidecar.target.TargetFailure
import org.chestnutloom.sidecar.target.TargetHealth

class HttpTargetSpec :
    DescribeSpec({
        suspend fun exchange(
            response: String,
            stream: Boolean = false,
            path: String? = null,
        ): Pair<List<TargetEvent>, String> =
            StubHttpServer(response).use { server ->
                val target = HttpTarget(sidecarSettings("http://127.0.0.1:${server.port}"))
                val call = callRequest(CallId("p1/7"), stream = stream)
                val events = target.run(call.copy(path = path ?: call.path), TRACE_PARENT).toList()
                target.close()
                events to server.receivedRequest()
            }

        fun head(vararg headers: String): String =
            (listOf("HTTP/1.1 200 OK") + headers + listOf("Connection: close", "", "")).joinToString("\r\n")

        val sse = head("Content-Type: text/event-stream")

        describe("a plain response") {
            it("is complete at its declared length") {
                val (events, request) = exchange(head("Content-Type: text/plain", "Content-Length: 4") + "done")
                events shouldContainExactly listOf(TargetEvent.Response(200, "text/plain", "done"))
                request.lines().map { it.trim() } shouldContainAll
                    listOf("POST /pay HTTP/1.1", "X-Request-Id: p1/7", "X-Program-Id: p1", "traceparent: $TRACE_PARENT")
            }
            it("is complete if it is chunked and its body is complete JSON") {
                val (events, _) = exchange(head("Transfer-Encoding: chunked") + "7\r\n{\"a\":1}\r\n0\r\n\r\n")
                events.single().shouldBeInstanceOf<TargetEvent.Response>().body shouldBe """{"a":1}"""
            }
            it("is lost if it is aborted, regardless of its framing") {
                val abortedResponses =
                    listOf(
                        head("Content-Length: 10") + "do",
                        head("Transfer-Encoding: chunked") + "4\r\ndone\r\n",
                        head("Transfer-Encoding: chunked") + "4\r\n{\"a\"\r\n",
                        head("Transfer-Encoding: chunked") + "4\r\n{\"",
                        head() + "no length",
                        "HTTP/1.1 200 OK\r\nContent-Le",
                        "",
                    )
                abortedResponses.map { response -> exchange(response).first.single() }.forEach {
                    it.shouldBeInstanceOf<TargetEvent.Failed>().failure.shouldBeInstanceOf<TargetFailure.Lost>()
                }
            }
            // Guards against a response with a status like 000 that reaches the caller as an answer.
            it("is lost if its status is not one of 200 to 599") {
                val statuses =
                    listOf("000", "099", "0", "20", "102", "199", "600", "999", "2000", "-200", "+200", "2x0")
                val accepted =
                    statuses.filter { status ->
                        val (events, _) = exchange("HTTP/1.1 $status OK\r\nContent-Length: 2\r\n\r\nok")
                        events.single() !is TargetEvent.Failed
                    }
                accepted shouldBe emptyList()
            }
            it("is rejected if it has the id of another request") {
                val (events, _) = exchange(head("X-Request-Id: p1/6", "Content-Length: 2") + "ok")
                events.single().shouldBeInstanceOf<TargetEvent.Failed>()
            }
        }

        describe("a response that begins while the request is still being sent") {
            // Guards against the first part of a response without a length that is taken for the whole one.
            it("is lost if the target resets the connection behind a part of it") {
                val responses = listOf(head() + "{\"a\":1}", head("Transfer-Encoding: chunked") + "4\r\n{\"a\"\r\n")
                (responses + (sse + "data: a\n\n")).forEach { response ->
                    EarlyResetServer(response).use { server ->
                        val target = HttpTarget(sidecarSettings("http://127.0.0.1:${server.port}"))
                        val call =
                            callRequest(
                                stream = response.startsWith(sse),
                            ).copy(body = "x".repeat(LONG_BODY_BYTES))
                        target
                            .run(call, null)
                            .toList()
                            .last()
                            .shouldBeInstanceOf<TargetEvent.Failed>()
                            .failure
                            .shouldBeInstanceOf<TargetFailure.Lost>()
                        target.close()
                    }
                }
            }
        }

        describe("a streamed response") {
            it("is complete after its final event") {
                val (events, _) =
                    exchange(
                        sse + "data: a\r\n\r\n: comment\r\n\r\ndata: b\n\ndata: [DONE]\n\n",
                        stream = true,
                    )
                events shouldContainExactly
                    listOf(TargetEvent.Chunk("a"), TargetEvent.Chunk("b"), TargetEvent.StreamEnd)
            }
            it("is lost if it is aborted at any byte before its final event") {
                val complete = sse + "data: first\n\ndata: second\n\ndata: [DONE]\n\n"
                (0 until complete.length - LAST_EVENT_TERMINATOR).forEach { length ->
                    val (events, request) = exchange(complete.take(length), stream = true)
                    request shouldStartWith "POST /pay"
                    events
                        .last()
                        .shouldBeInstanceOf<TargetEvent.Failed>()
                        .failure
                        .shouldBeInstanceOf<TargetFailure.Lost>()
                    val chunks = events.filterIsInstance<TargetEvent.Chunk>().map { it.data }
                    chunks shouldBe listOf("first", "second").take(chunks.size)
                }
            }
            // Guards against a status like 000 that reaches the caller as an answer.
            it("is lost if its status is not one of 200 to 599") {
                val statuses = listOf("000", "099", "600", "999")
                val accepted =
                    statuses.filter { status ->
                        val response = "HTTP/1.1 $status OK\r\nContent-Type: text/event-stream\r\n\r\n"
                        val (events, _) = exchange(response + "data: a\n\ndata: [DONE]\n\n", stream = true)
                        events.last() !is TargetEvent.Failed
                    }
                accepted shouldBe emptyList()
            }
            it("may be replaced by a plain error response") {
                val error = "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
                exchange(error, stream = true).first shouldContainExactly
                    listOf(TargetEvent.Response(400, "application/json", "{}"))
            }
        }

        describe("a target that refuses connections") {
            it("is sent no request") {
                val port = StubHttpServer("").use { it.port }
                val target = HttpTarget(sidecarSettings("http://127.0.0.1:$port"))
                val event = target.run(callRequest(), null).toList().single()
                event.shouldBeInstanceOf<TargetEvent.Failed>().failure.shouldBeInstanceOf<TargetFailure.NotSent>()
                val streamed = target.run(callRequest(stream = true), null).toList().single()
                streamed.shouldBeInstanceOf<TargetEvent.Failed>().failure.shouldBeInstanceOf<TargetFailure.NotSent>()
                target.probe() shouldBe TargetHealth.REFUSED
                target.close()
            }
        }

        describe("a path that would change the target's address") {
            it("is not sent") {
                val (events, _) = exchange("", path = "@127.0.0.2/pay")
                val failure = events.single().shouldBeInstanceOf<TargetEvent.Failed>().failure
                failure.shouldBeInstanceOf<TargetFailure.InvalidRequest>()
            }
        }
    })

private const val TRACE_PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

/** More than the buffers between a client and a server that reads nothing hold. */
private const val LONG_BODY_BYTES = 16 * 1024 * 1024

/** Length of the line terminators that end the event after `[DONE]`. */
private const val LAST_EVENT_TERMINATOR = 2
