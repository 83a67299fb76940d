package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.chestnutloom.fakes.edge.ConnectionAction
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.ScriptedTarget
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a request that one of [targets] aborts, then stops that target and returns it. */
private suspend fun RawCaller.sendAndCrash(targets: List<ScriptedTarget>): ScriptedTarget {
    send("POST", "/pay/poison", body = "p").status shouldBe 502
    val crashed = targets.first { it.received.isNotEmpty() }
    crashed.stop()
    delay(300.milliseconds)
    return crashed
}

class RoutedRequestSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a request on a route") {
            it("reaches a target unchanged except for its headers, and its response is relayed unchanged") {
                val target = fleet.target("i-1") { signedResponse(it, "rattan", status = "201 Created") }
                val response =
                    fleet.caller().send(
                        "POST",
                        "/plain/a?b=c",
                        body = "cane",
                        headers = mapOf("X-Own" to "1"),
                    )
                response.status shouldBe 201
                response.body shouldBe "rattan"
                response.header("Chestnutloom-Server-Signature") shouldBe "sig"
                val received = target.received.single()
                received.method shouldBe "POST"
                received.target shouldBe "/plain/a?b=c"
                received.body.decodeToString() shouldBe "cane"
                received.header("X-Own") shouldBe "1"
                received.header("Authorization") shouldBe null
                received.header("Chestnutloom-Tenant") shouldBe "account-a"
                received.header("Chestnutloom-Expect-Instance") shouldBe "i-1"
                received.header("Chestnutloom-Deadline-Ms").shouldNotBeNull()
            }

            it("is refused without a route or a valid key") {
                fleet.target("i-1") { signedResponse(it, "x") }
                val caller = fleet.caller()
                caller.send("GET", "/nowhere/a").status shouldBe 404
                caller.send("GET", "/plain/a", key = "key-z").status shouldBe 401
                caller.send("GET", "/plain/a", key = null).status shouldBe 401
            }

            it("is retried at another target when the first reports that it did not run") {
                val refusal =
                    ScriptedResponse(
                        listOf("HTTP/1.1 503 Full\r\nChestnutloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
                    )
                fleet.target("i-1") { refusal }
                fleet.target("i-2") { signedResponse(it, "served") }
                val caller = fleet.caller()
                (1..6).map { caller.send("POST", "/pay/$it").status }.toSet() shouldBe setOf(200)
            }

            // Guards against a wait for the deadline, and a 504, for the second response without an id on a connection.
            it("is served again by a target whose responses do not repeat the id of the request") {
                val text = "HTTP/1.1 200 OK\r\nChestnutloom-Server-Signature: sig\r\nContent-Length: 1\r\n\r\nx"
                val target = fleet.target("i-1") { ScriptedResponse(listOf(text)) }
                val caller = fleet.caller()
                (1..3).map { caller.send("POST", "/pay/$it").status } shouldBe listOf(200, 200, 200)
                target.received.size shouldBe 3
            }

            it("is retried at another target when another instance has the address of the first") {
                fleet.target("i-1") {
                    ScriptedResponse(listOf("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"))
                }
                fleet.target("i-2") { signedResponse(it, "served") }
                val caller = fleet.caller()
                (1..6).map { caller.send("POST", "/pay/$it").status }.toSet() shouldBe setOf(200)
            }

            it("runs only once when its response is aborted, unless it is idempotent") {
                fun half(request: ReceivedRequest) =
                    ScriptedResponse(
                        listOf(responseHead(request) + "Content-Length: 100\r\n\r\nhalf"),
                        ConnectionAction.RESET,
                    )
                val first = fleet.target("i-1", script = ::half)
                val second = fleet.target("i-2", script = ::half)
                val caller = fleet.caller()
                caller.send("POST", "/pay/1").status shouldBe 502
                first.received.size + second.received.size shouldBe 1
                caller.send("GET", "/plain/1").status shouldBe 502
                first.received.size + second.received.size shouldBe 3
            }

            it("is not reported as not run after a target's 503 without Chestnutloom-Not-Executed") {
                fleet.target("i-1") { ScriptedResponse(listOf("HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n")) }
                fleet.caller().send("POST", "/pay/1").status shouldBe 502
            }

            it("fails without the signature of the target") {
                fleet.target("i-1") { ScriptedResponse(listOf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")) }
                fleet.caller().send("POST", "/pay/1").status shouldBe 502
            }
        }

        describe("a gateway on a caller's connection") {
            it("treats a request inside the body of another one as a body") {
                val target = fleet.target("i-1") { signedResponse(it, "x") }
                val hidden = "GET /plain/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n"
                fleet.caller().send("POST", "/plain/1", body = hidden).status shouldBe 200
                target.received.map { it.target } shouldBe listOf("/plain/1")
            }

            it("refuses a request with both Content-Length and Transfer-Encoding") {
                val target = fleet.target("i-1") { signedResponse(it, "x") }
                val text =
                    "POST /plain/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\n" +
                        "Chestnutloom-Attempt-Id: z\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                fleet.caller().exchange(text).status shouldBe 400
                target.received.size shouldBe 0
            }

            it("responds to a request even if the bytes that follow are not HTTP") {
                fleet.target("i-1") { ScriptedResponse(signedResponse(it, "first").chunks, pause = 200.milliseconds) }
                val text =
                    "GET /plain/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\n" +
                        "Chestnutloom-Attempt-Id: z\r\n\r\nno request\r\n\r\n"
                val response = fleet.caller().exchange(text)
                response.status shouldBe 200
                response.body shouldContain "first"
                response.body shouldContain "HTTP/1.1 400"
            }

            it("refuses headers and bodies that exceed the limits") {
                fleet.target("i-1") { signedResponse(it, "x") }
                val caller = fleet.caller()
                caller.send("GET", "/plain/1", headers = mapOf("X-Long" to "x".repeat(5_000))).status shouldBe 431
                caller
                    .send(
                        "POST",
                        "/plain/1",
                        headers = mapOf("X-Many" to "1"),
                        body = "y".repeat(1_000_001),
                    ).status shouldBe
                    413
            }

            it("times out a request whose headers never end") {
                fleet.caller().exchange("GET /plain/1 HTTP/1.1\r\nHost: a.exa").status shouldBe 408
            }
        }

        describe("a request that crashes its targets") {
            it("is not sent to a third target") {
                val targets =
                    (1..3).map { fleet.target("i-$it") { ScriptedResponse(emptyList(), ConnectionAction.RESET) } }
                val caller = fleet.caller()
                val crashed = ArrayList<ScriptedTarget>()

                suspend fun crash() {
                    val sent = caller.sendAndCrash(targets - crashed.toSet())
                    crashed += sent
                }
                crash()
                crash()
                caller.send("POST", "/pay/poison", body = "p").status shouldBe 503
                targets.count { it.received.isNotEmpty() } shouldBe 2
            }
        }

        describe("a client account") {
            it("is limited to its rate and burst") {
                fleet.target("i-1") { signedResponse(it, "x") }
                fleet.configure(version = 1, ratePerSecond = 1, burst = 3)
                val caller = RawCaller(fleet.gateway("g1"))
                delay(1_200.milliseconds)
                val responses = coroutineScope { (1..8).map { async { caller.send("GET", "/plain/$it") } }.awaitAll() }
                responses.count { it.status == 200 } shouldBeLessThanOrEqual 5
                responses.map { it.status } shouldContain 429
                responses.first { it.status == 429 }.header("Retry-After").shouldNotBeNull()
                caller.send("GET", "/plain/b", key = "key-b").status shouldBe 200
            }
        }

        describe("a gateway that is shutting down") {
            it("accepts only requests whose deadline is before the end of its grace period") {
                fleet.gracePeriod = 4.seconds
                val target =
                    fleet.target(
                        "i-1",
                    ) { ScriptedResponse(signedResponse(it, "x").chunks, pause = 800.milliseconds) }
                val caller = fleet.caller()
                coroutineScope {
                    val earlier = async { caller.send("GET", "/plain/1") }
                    eventually { target.received.size == 1 }
                    val stop = async { fleet.stopGateway("g1") }
                    delay(100.milliseconds)
                    caller.send("GET", "/plain/2").status shouldBe 503
                    caller.send("GET", "/plain/3", callerTimeoutMs = 1_500).status shouldBe 200
                    earlier.await().status shouldBe 200
                    target.received.map { it.target } shouldBe listOf("/plain/1", "/plain/3")
                    stop.await()
                }
            }
        }

        describe("a configuration change") {
            it("is applied soon, and an older version is never applied again") {
                fleet.target("i-1") { signedResponse(it, "x") }
                val caller = fleet.caller()
                val extra = "," + fleet.route("new", "idempotent", EdgeFleet.PLAIN, 1)
                fleet.configure(version = 5, extraRoutes = extra)
                eventually { caller.send("GET", "/new/1").status == 200 }
                fleet.configure(version = 4)
                delay(300.milliseconds)
                caller.send("GET", "/new/1").status shouldBe 200
                fleet.store.discardHistory()
                fleet.configure(version = 6, keys = "\"key-c\"")
                eventually { caller.send("GET", "/plain/1").status == 401 }
                caller.send("GET", "/plain/1", key = "key-c").status shouldBe 200
            }
        }

        describe("a target") {
            it("that drains or whose row is malformed gets no new requests") {
                val first = fleet.target("i-1") { signedResponse(it, "1") }
                fleet.target("i-2") { signedResponse(it, "2") }
                val caller = fleet.caller()
                fleet.putTarget("i-1", EdgeFleet.PLAIN, first.port, state = "draining")
                delay(300.milliseconds)
                (1..6).map { caller.send("GET", "/plain/$it").body }.toSet() shouldBe setOf("2")
                fleet.putTarget("i-1", EdgeFleet.PLAIN, first.port)
                eventually { caller.send("GET", "/plain/a").body == "1" }
                fleet.store.put("servers", "i-1", "{\"service\":17}")
                delay(300.milliseconds)
                (1..6).map { caller.send("GET", "/plain/$it").body }.toSet() shouldBe setOf("2")
            }
        }
    })
