package org.chestnutloom.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.gateway.GatewayFixture.Companion.completion
import org.chestnutloom.gateway.GatewayFixture.Companion.model
import org.chestnutloom.gateway.GatewayFixture.Companion.text
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

internal class HttpApiSpec :
    DescribeSpec({
        lateinit var gateway: GatewayFixture

        beforeEach { gateway = GatewayFixture().start() }

        afterEach { gateway.stop() }

        describe("a request without a valid access key") {
            it("is refused on every route that requires a key") {
                val routes = listOf("GET" to "/v1/models", "POST" to "/v1/programs", "POST" to "/v1/chat/completions")
                routes.forEach { (method, url) ->
                    val answer = gateway.send(method, url, "{}", bearer = null)
                    answer.status shouldBe 401
                    answer.execution() shouldBe "not_run"
                }
            }

            it("can reach open routes only") {
                gateway.send("GET", "/open/hours", bearer = null).status shouldBe 200
                gateway.send("POST", "/open/hours", bearer = null).status shouldBe 404
                gateway.send("GET", "/open/other", bearer = null).status shouldBe 404
                gateway.payEffects.single().path shouldBe "/hours"
            }
        }

        describe("a caller's access key") {
            it("is redacted in bodies, field names, paths and queries sent to targets") {
                val bearer = FakeControlPlane.WARD_BEARER
                val program = gateway.openProgram()
                gateway.turn(program, 1, model("my key is $bearer"))
                val encoded = bearer.replace("0", "%30")
                val body = """{"kind":"tool","service":"pay","path":"/p?k=$bearer","body":{"$bearer":["x$bearer"]}}"""
                gateway.turn(program, 2, body).status shouldBe 200
                val encodedBody = body.replace("/p?k=$bearer", "/p?k=$encoded")
                gateway.turn(program, 3, encodedBody).errorCode() shouldBe "bad_request"
                gateway.send("GET", "/open/hours?key=$bearer").status shouldBe 200
                val sent = (gateway.modelEffects + gateway.payEffects).map { "${it.path} ${it.body}" }
                sent shouldHaveSize 3
                sent.forEach {
                    it shouldNotContain "0123456789abcdef"
                    it shouldContain "redacted"
                }
            }
        }

        describe("an invalid request") {
            it("is refused with its request id, and nothing runs") {
                val program = gateway.openProgram()
                val turns = "/v1/programs/$program/turns"
                val cases =
                    listOf(
                        Triple("$turns/1", "{", 400),
                        Triple("$turns/1", "[]", 400),
                        Triple("$turns/1", "[".repeat(10_000), 400),
                        Triple("$turns/1", """{"kind":"unsupported"}""", 400),
                        Triple("$turns/1", model().replace("m1", "m2"), 404),
                        Triple("$turns/1", model().replace("10", "-10"), 400),
                        Triple("$turns/1", model("x".repeat(30_000)), 413),
                        Triple("$turns/0", model(), 400),
                        Triple("$turns/99999999999", model(), 400),
                        Triple("$turns/one", model(), 400),
                        Triple("/v1/programs/no.such%0aheader/turns/1", model(), 400),
                        Triple("/v1/programs", """{"budget":{"tokens":"1"}}""", 400),
                        Triple("/v1/nothing", "{}", 404),
                    )
                cases.forEach { (url, body, status) ->
                    val answer = gateway.send("POST", url, body)
                    answer.status shouldBe status
                    answer.execution() shouldBe "not_run"
                    answer.json().text("error") shouldContain answer.headers.getValue("x-request-id").single()
                }
                gateway.modelEffects shouldHaveSize 0
                gateway.turn(program, 1, model()).status shouldBe 200
            }
        }

        describe("a connection with malformed or incomplete HTTP requests") {
            it("gets an error response or is closed, and the gateway keeps serving") {
                val key = "Authorization: Bearer ${FakeControlPlane.WARD_BEARER}"
                val head = "POST /v1/programs HTTP/1.1\r\nHost: g\r\n$key\r\n"
                val seed = 20_261_204
                val randomBytes = ByteArray(2_000).also { Random(seed).nextBytes(it) }
                val cases =
                    listOf(
                        randomBytes,
                        (head + "Content-Length: 100\r\n\r\n{\"budget\":").toByteArray(),
                        (head + "Content-Length: -5\r\n\r\n{}").toByteArray(),
                        (head + "X-Odd: a\u0000b\rc\r\nContent-Length: 2\r\n\r\n{}").toByteArray(),
                        (head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a").toByteArray(),
                        "GET /v1/models HTTP/9.9\r\n\r\n".toByteArray(),
                    )
                cases.forEach { bytes -> gateway.sendRaw(bytes) shouldNotContain "\"state\"" }
                gateway.send("GET", "/v1/models").status shouldBe 200
                eventually(10.seconds) { gateway.pipeline.inFlight.count shouldBe 0 }
            }
        }

        describe("a retry of a turn") {
            it("does not count against the client account's rate limit") {
                val program = gateway.openProgram()
                gateway.turn(program, 1, model())
                val before = gateway.control.admitted
                gateway.turn(program, 1, model()).status shouldBe 200
                gateway.control.admitted shouldBe before
            }
        }

        describe("a client account over its rate limit") {
            it("is refused with a retry delay") {
                val program = gateway.openProgram()
                gateway.control.admissionRefusal =
                    Refusal(RefusalCode.RATE_LIMITED, Execution.NOT_RUN, "The account exceeded its rate.", 1_500)
                val answer = gateway.turn(program, 1, model())
                answer.status shouldBe 429
                answer.headers.getValue("retry-after").single() shouldBe "2"
                answer.body shouldContain "\"retry_after_ms\":1500"
            }
        }

        describe("an existing chat-completions client") {
            it("gets the engine's response as JSON, as a stream, or as a turn of a program") {
                gateway.send("GET", "/v1/models").body shouldContain "\"id\":\"m1\""
                gateway.send("POST", "/v1/chat/completions", completion()).body shouldContain "echo"
                val streamed = gateway.send("POST", "/v1/chat/completions", completion(stream = true))
                streamed.headers.getValue("content-type").single() shouldContain "text/event-stream"
                streamed.body shouldContain "data: [DONE]"
                val program = gateway.openProgram()
                val headers = mapOf("X-Program-Id" to program, "X-Turn" to "1")
                gateway.send("POST", "/v1/chat/completions", completion(), headers = headers).body shouldContain "echo"
                gateway.send("GET", "/v1/programs/$program").json().text("last_turn") shouldBe "1"
            }
        }

        describe("a graceful shutdown") {
            it("refuses new requests with execution not_run") {
                gateway.pipeline.httpServer.isStopping = true
                val answer = gateway.send("POST", "/v1/chat/completions", completion())
                answer.errorCode() shouldBe "stopping"
                answer.execution() shouldBe "not_run"
            }
        }
    })
