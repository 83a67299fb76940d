package org.chestnutloom.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.chestnutloom.common.node.Node
import org.chestnutloom.common.node.NodeEndpoints
import org.chestnutloom.wire.link.PeerAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private class FakeNode : Node {
    override var isReady = false
    override val endpoints = NodeEndpoints(null, 0)

    override suspend fun start() = Unit

    override suspend fun stopGracefully() = Unit
}

class AdminServerSpec :
    DescribeSpec({
        describe("the admin server") {
            val node = FakeNode()
            val metrics = ProcessMetrics()
            val server = AdminServer(PeerAddress("127.0.0.1", 0), metrics, node)
            val port = server.start()
            afterSpec { server.stop() }

            fun get(path: String): HttpResponse<String> {
                val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).build()
                return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
            }

            it("reports liveness of the process and readiness of the node") {
                get("/live").statusCode() shouldBe 200
                get("/ready").statusCode() shouldBe 503
                node.isReady = true
                get("/ready").statusCode() shouldBe 200
                node.isReady = false
                get("/ready").statusCode() shouldBe 503
            }

            it("serves the metrics of the process and the node") {
                metrics.registry.counter("chestnutloom.test").increment()
                val text = get("/metrics").body()
                text shouldContain "chestnutloom_test_total 1.0"
                text shouldContain "jvm_memory_used_bytes"
            }
        }
    })
