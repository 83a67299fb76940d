package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.chestnutloom.fakes.edge.ScriptedResponse
import org.chestnutloom.fakes.edge.responseHead
import org.chestnutloom.fakes.edge.signedResponse

class RequestMethodSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()
        val served = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a request's method") {
            it("is forwarded unchanged if it is served") {
                val target =
                    fleet.target("i-1") {
                        val withoutBody = ScriptedResponse(listOf(responseHead(it) + "Content-Length: 3\r\n\r\n"))
                        if (it.method == "HEAD") withoutBody else signedResponse(it, "own")
                    }
                val caller = fleet.caller()
                repeat(2) { served.forEach { caller.send(it, "/plain/$it").status shouldBe 200 } }
                target.received.map { it.method } shouldBe served + served
                target.connections shouldBe 1
            }

            // Guards against a last chunk behind a response to HEAD, and against a length of 0 for a resource that has one.
            it("of HEAD gets the length that the target sent, and nothing ahead of the next response") {
                for (service in listOf(EdgeFleet.PLAIN, EdgeFleet.LLM)) {
                    fleet.target("$service-1", service) {
                        val framing =
                            if (service ==
                                EdgeFleet.LLM
                            ) {
                                "Transfer-Encoding: chunked"
                            } else {
                                "Content-Length: 3"
                            }
                        val withoutBody = ScriptedResponse(listOf(responseHead(it) + "$framing\r\n\r\n"))
                        if (it.method == "HEAD") withoutBody else signedResponse(it, "own")
                    }
                }
                val caller = fleet.caller()
                for ((path, length) in listOf("/plain/1" to "3", "/chat/1" to null)) {
                    val head = "Host: a.example\r\nAuthorization: Token key-a\r\nChestnutloom-Attempt-Id: $path"
                    val next = "GET /plain/2 HTTP/1.1\r\n$head-2\r\nConnection: close\r\n\r\n"
                    val response = caller.exchange("HEAD $path HTTP/1.1\r\n$head\r\n\r\n$next")
                    response.header("Content-Length") shouldBe length
                    response.text.substringAfter("\r\n\r\n") shouldStartWith "HTTP/1.1 200 OK\r\n"
                }
            }

            // Guards against a CONNECT request that reached a target and left its pooled connection unusable.
            it("does not make a target's connection unusable") {
                val target = fleet.target("i-1") { signedResponse(it, "own") }
                val caller = fleet.caller()
                caller.send("POST", "/pay/0").status shouldBe 200
                caller.send("CONNECT", "/pay/1")
                (2..4).map { caller.send("POST", "/pay/$it").status } shouldBe listOf(200, 200, 200)
                target.connections shouldBe 1
            }

            it("is refused if it is known but not served, and the response names the served ones") {
                val target = fleet.target("i-1") { signedResponse(it, "own") }
                val caller = fleet.caller()
                for (path in listOf("/plain/1", "a.example:80")) {
                    for (method in listOf("CONNECT", "TRACE")) {
                        val response = caller.send(method, path)
                        response.status shouldBe 405
                        response.header("Allow") shouldBe served.joinToString(", ")
                    }
                }
                target.received.size shouldBe 0
            }

            it("is refused if it is unknown") {
                val target = fleet.target("i-1") { signedResponse(it, "own") }
                val caller = fleet.caller()
                listOf("BREW", "get", "GETS", "CONNECT2").map { caller.send(it, "/plain/1").status }.toSet() shouldBe
                    setOf(501)
                target.received.size shouldBe 0
            }

            it("is refused after the responses to earlier requests, and what follows it is not read") {
                val target = fleet.target("i-1") { signedResponse(it, "first") }
                val head =
                    "/plain/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\n" +
                        "Chestnutloom-Attempt-Id: z\r\n\r\n"
                val response = fleet.caller().exchange("GET ${head}CONNECT ${head}POST $head")
                response.status shouldBe 200
                response.body shouldContain "first"
                response.body shouldContain "HTTP/1.1 405"
                target.received.map { it.method } shouldBe listOf("GET")
            }
        }
    })
