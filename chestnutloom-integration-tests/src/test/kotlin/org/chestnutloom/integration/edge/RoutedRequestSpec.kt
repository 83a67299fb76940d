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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends a request that breaks off at one of [targets], and stops that target, which is then returned. */
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
            it("reaches a target unchanged but for its headers, and its answer comes back unchanged") {
                val target = fleet.target("i-1") { signed(it, "rattan", status = "201 Created") }
                val answer = fleet.caller().send("POST", "/plain/a?b=c", body = "cane", headers = mapOf("X-Own" to "1"))
                answer.status shouldBe 201
                answer.body shouldBe "rattan"
                answer.header("Chestnutloom-Server-Signature") shouldBe "sig"
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

            it("is refused without a route, a key in force or a configuration") {
                fleet.target("i-1") { signed(it, "x") }
                val caller = fleet.caller()
                caller.send("GET", "/nowhere/a").status shouldBe 404
                caller.send("GET", "/plain/a", key = "key-z").status shouldBe 401
                caller.send("GET", "/plain/a", key = null).status shouldBe 401
            }

            it("goes to another target when the first says that it did not run") {
                val refusal =
                    ScriptedResponse(
                        listOf("HTTP/1.1 503 Full\r\nChestnutloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
                    )
                fleet.target("i-1") { refusal }
                fleet.target("i-2") { signed(it, "served") }
                val caller = fleet.caller()
                (1..6).map { caller.send("POST", "/pay/$it").status }.toSet() shouldBe setOf(200)
            }

            it("goes to another target when a new runner has the address of the first") {
                fleet.target("i-1") {
                    ScriptedResponse(listOf("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"))
                }
                fleet.target("i-2") { signed(it, "served") }
                val caller = fleet.caller()
                (1..6).map { caller.send("POST", "/pay/$it").status }.toSet() shouldBe setOf(200)
            }

            it("runs once only when its answer breaks off, unless it may be repeated") {
                fun half(request: ReceivedRequest) =
                    ScriptedResponse(listOf(head(request) + "Content-Length: 100\r\n\r\nhalf"), ConnectionAction.RESET)
                val first = fleet.target("i-1", script = ::half)
                val second = fleet.target("i-2", script = ::half)
                val caller = fleet.caller()
                caller.send("POST", "/pay/1").status shouldBe 502
                first.received.size + second.received.size shouldBe 1
                caller.send("GET", "/plain/1").status shouldBe 502
                first.received.size + second.received.size shouldBe 3
            }

            it("is not promised as not run by a target's 503 that does not say so") {
                fleet.target("i-1") { ScriptedResponse(listOf("HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n")) }
                fleet.caller().send("POST", "/pay/1").status shouldBe 502
            }

            it("does not succeed without the target's signature") {
                fleet.target("i-1") { ScriptedResponse(listOf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")) }
                fleet.caller().send("POST", "/pay/1").status shouldBe 502
            }
        }

        describe("a connection of a caller") {
            it("that hides a request in another's body has it treated as a body") {
                val target = fleet.target("i-1") { signed(it, "x") }
                val hidden = "GET /plain/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n"
                fleet.caller().send("POST", "/plain/1", body = hidden).status shouldBe 200
                target.received.map { it.target } shouldBe listOf("/plain/1")
            }

            it("whose request has two lengths is refused") {
                val target = fleet.target("i-1") { signed(it, "x") }
                val text =
                    "POST /plain/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\n" +
                        "Chestnutloom-Attempt-Id: z\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                fleet.caller().exchange(text).status shouldBe 400
                target.received.size shouldBe 0
            }

            it("has its request answered although what follows is not HTTP") {
                fleet.target("i-1") { ScriptedResponse(signed(it, "first").chunks, pause = 200.milliseconds) }
                val text =
                    "GET /plain/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\n" +
                        "Chestnutloom-Attempt-Id: z\r\n\r\nno request\r\n\r\n"
                val answer = fleet.caller().exchange(text)
                answer.status shouldBe 200
                answer.body shouldContain "first"
                answer.body shouldContain "HTTP/1.1 400"
            }

            it("may send no more than the limits allow") {
                fleet.target("i-1") { signed(it, "x") }
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

            it("that never ends its headers is closed") {
                fleet.caller().exchange("GET /plain/1 HTTP/1.1\r\nHost: a.exa").status shouldBe 408
            }
        }

        describe("a request that crashes its targets") {
            it("reaches no third one") {
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
            it("gets no more than its rate and burst") {
                fleet.target("i-1") { signed(it, "x") }
                fleet.configure(version = 1, ratePerSecond = 1, burst = 3)
                val caller = RawCaller(fleet.gateway("g1"))
                delay(1_200.milliseconds)
                val answers = coroutineScope { (1..8).map { async { caller.send("GET", "/plain/$it") } }.awaitAll() }
                answers.count { it.status == 200 } shouldBeLessThanOrEqual 5
                answers.map { it.status } shouldContain 429
                answers.first { it.status == 429 }.header("Retry-After").shouldNotBeNull()
                caller.send("GET", "/plain/b", key = "key-b").status shouldBe 200
            }
        }

        describe("a gateway that is being stopped") {
            it("takes only requests whose callers stop waiting before its end") {
                fleet.grace = 4.seconds
                val target = fleet.target("i-1") { ScriptedResponse(signed(it, "x").chunks, pause = 800.milliseconds) }
                val caller = fleet.caller()
                coroutineScope {
                    val earlier = async { caller.send("GET", "/plain/1") }
                    eventually { target.received.size == 1 }
                    val stop = async { fleet.stopGateway("g1") }
                    delay(100.milliseconds)
                    caller.send("GET", "/plain/2").status shouldBe 503
                    caller.send("GET", "/plain/3", patienceMs = 1_500).status shouldBe 200
                    earlier.await().status shouldBe 200
                    target.received.map { it.target } shouldBe listOf("/plain/1", "/plain/3")
                    stop.await()
                }
            }
        }

        describe("a change of the configuration") {
            it("is in force soon, and an older one never again") {
                fleet.target("i-1") { signed(it, "x") }
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
            it("that drains or whose row cannot be read gets nothing new") {
                val first = fleet.target("i-1") { signed(it, "1") }
                fleet.target("i-2") { signed(it, "2") }
                val caller = fleet.caller()
                fleet.announce("i-1", EdgeFleet.PLAIN, first.port, state = "draining")
                delay(300.milliseconds)
                (1..6).map { caller.send("GET", "/plain/$it").body }.toSet() shouldBe setOf("2")
                fleet.announce("i-1", EdgeFleet.PLAIN, first.port)
                eventually { caller.send("GET", "/plain/a").body == "1" }
                fleet.store.put("servers", "i-1", "{\"service\":17}")
                delay(300.milliseconds)
                (1..6).map { caller.send("GET", "/plain/$it").body }.toSet() shouldBe setOf("2")
            }
        }
    })
