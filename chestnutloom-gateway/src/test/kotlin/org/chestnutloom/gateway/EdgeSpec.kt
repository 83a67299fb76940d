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
import org.chestnutloom.gateway.Rig.Companion.completion
import org.chestnutloom.gateway.Rig.Companion.model
import org.chestnutloom.gateway.Rig.Companion.text
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

internal class EdgeSpec :
    DescribeSpec({
        lateinit var rig: Rig

        beforeEach { rig = Rig().start() }

        afterEach { rig.stop() }

        describe("a request without a valid key") {
            it("is refused on every keyed route") {
                val routes = listOf("GET" to "/v1/models", "POST" to "/v1/programs", "POST" to "/v1/chat/completions")
                routes.forEach { (method, url) ->
                    val answer = rig.send(method, url, "{}", bearer = null)
                    answer.status shouldBe 401
                    answer.execution() shouldBe "not_run"
                }
            }

            it("reaches an open route, and nothing beside the open routes") {
                rig.send("GET", "/open/hours", bearer = null).status shouldBe 200
                rig.send("POST", "/open/hours", bearer = null).status shouldBe 404
                rig.send("GET", "/open/other", bearer = null).status shouldBe 404
                rig.payEffects.single().path shouldBe "/hours"
            }
        }

        describe("a caller's key") {
            it("never leaves in a body, a field name, a path or a query") {
                val bearer = FakeControl.WARD_BEARER
                val program = rig.openProgram()
                rig.turn(program, 1, model("my key is $bearer"))
                val encoded = bearer.replace("0", "%30")
                val body = """{"kind":"tool","service":"pay","path":"/p?k=$bearer","body":{"$bearer":["x$bearer"]}}"""
                rig.turn(program, 2, body).status shouldBe 200
                rig.turn(program, 3, body.replace("/p?k=$bearer", "/p?k=$encoded")).errorCode() shouldBe "bad_request"
                rig.send("GET", "/open/hours?key=$bearer").status shouldBe 200
                val sent = (rig.modelEffects + rig.payEffects).map { "${it.path} ${it.body}" }
                sent shouldHaveSize 3
                sent.forEach {
                    it shouldNotContain "0123456789abcdef"
                    it shouldContain "redacted"
                }
            }
        }

        describe("bad input") {
            it("gets a clear refusal, and nothing runs") {
                val program = rig.openProgram()
                val turns = "/v1/programs/$program/turns"
                val cases =
                    listOf(
                        Triple("$turns/1", "{", 400),
                        Triple("$turns/1", "[]", 400),
                        Triple("$turns/1", "[".repeat(10_000), 400),
                        Triple("$turns/1", """{"kind":"dance"}""", 400),
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
                    val answer = rig.send("POST", url, body)
                    answer.status shouldBe status
                    answer.execution() shouldBe "not_run"
                    answer.json().text("error") shouldContain answer.headers.getValue("x-request-id").single()
                }
                rig.modelEffects shouldHaveSize 0
                rig.turn(program, 1, model()).status shouldBe 200
            }
        }

        describe("a connection that brings anything else than whole requests") {
            it("is answered or closed, and the gateway lives on") {
                val key = "Authorization: Bearer ${FakeControl.WARD_BEARER}"
                val head = "POST /v1/programs HTTP/1.1\r\nHost: g\r\n$key\r\n"
                val seed = 20_261_204
                val noise = ByteArray(2_000).also { Random(seed).nextBytes(it) }
                val cases =
                    listOf(
                        noise,
                        (head + "Content-Length: 100\r\n\r\n{\"budget\":").toByteArray(),
                        (head + "Content-Length: -5\r\n\r\n{}").toByteArray(),
                        (head + "X-Odd: a\u0000b\rc\r\nContent-Length: 2\r\n\r\n{}").toByteArray(),
                        (head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a").toByteArray(),
                        "GET /v1/models HTTP/9.9\r\n\r\n".toByteArray(),
                    )
                cases.forEach { bytes -> rig.raw(bytes) shouldNotContain "\"state\"" }
                rig.send("GET", "/v1/models").status shouldBe 200
                eventually(10.seconds) { rig.path.work.underWay shouldBe 0 }
            }
        }

        describe("a repeat of a turn") {
            it("costs nothing of the client account's rate") {
                val program = rig.openProgram()
                rig.turn(program, 1, model())
                val before = rig.control.admitted
                rig.turn(program, 1, model()).status shouldBe 200
                rig.control.admitted shouldBe before
            }
        }

        describe("a client account over its rate") {
            it("is refused with the time after which to try again") {
                val program = rig.openProgram()
                rig.control.admissionRefusal = Refusal(RefusalCode.RATE_LIMITED, Execution.NOT_RUN, "rate", 1_500)
                val answer = rig.turn(program, 1, model())
                answer.status shouldBe 429
                answer.headers.getValue("retry-after").single() shouldBe "2"
                answer.body shouldContain "\"retry_after_ms\":1500"
            }
        }

        describe("an existing chat-completions client") {
            it("gets the engine's answer, plain, streamed, or as a turn of a program") {
                rig.send("GET", "/v1/models").body shouldContain "\"id\":\"m1\""
                rig.send("POST", "/v1/chat/completions", completion()).body shouldContain "echo"
                val streamed = rig.send("POST", "/v1/chat/completions", completion(stream = true))
                streamed.headers.getValue("content-type").single() shouldContain "text/event-stream"
                streamed.body shouldContain "data: [DONE]"
                val program = rig.openProgram()
                val headers = mapOf("X-Program-Id" to program, "X-Turn" to "1")
                rig.send("POST", "/v1/chat/completions", completion(), headers = headers).body shouldContain "echo"
                rig.send("GET", "/v1/programs/$program").json().text("last_turn") shouldBe "1"
            }
        }

        describe("a planned stop") {
            it("refuses new requests as not run") {
                rig.path.edge.isStopping = true
                val answer = rig.send("POST", "/v1/chat/completions", completion())
                answer.errorCode() shouldBe "stopping"
                answer.execution() shouldBe "not_run"
            }
        }
    })
