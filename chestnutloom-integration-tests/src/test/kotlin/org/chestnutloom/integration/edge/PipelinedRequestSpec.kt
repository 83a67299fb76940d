package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.chestnutloom.fakes.edge.signedResponse
import java.net.InetAddress
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

/** More than both sockets hold, so that the responses are not written completely while the caller does not read. */
private const val LARGE_RESPONSES = 40
private val LARGE_BODY = "x".repeat(200_000)

private fun request(
    method: String,
    path: String,
    headers: String = "",
) = "$method $path HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-a\r\nContent-Length: 0\r\n" +
    "Chestnutloom-Attempt-Id: attempt-$path\r\nChestnutloom-Deadline-Ms: 4000\r\n$headers\r\n"

class PipelinedRequestSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        describe("a request behind one that ends its connection") {
            // Guards against a request that runs although its response can no longer be sent.
            it("does not run while the last response is still being written") {
                val target = fleet.target("i-1") { signedResponse(it, LARGE_BODY) }
                fleet.configure(version = 1)
                val port = fleet.gateway("g1")
                val requests =
                    (1..LARGE_RESPONSES).map { request("GET", "/plain/$it") } +
                        request("GET", "/plain/last", "Connection: close\r\n") +
                        request("POST", "/pay/behind")
                val text =
                    withContext(Dispatchers.IO) {
                        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                            socket.getOutputStream().write(requests.joinToString("").encodeToByteArray())
                            eventually { target.received.any { it.target == "/plain/last" } }
                            delay(300.milliseconds)
                            socket.getInputStream().readAllBytes().decodeToString()
                        }
                    }
                text.split("HTTP/1.1 200").size - 1 shouldBe LARGE_RESPONSES + 1
                target.received.filter { it.method == "POST" }.shouldBeEmpty()
            }
        }
    })
