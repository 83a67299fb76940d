package org.chestnutloom.common.store

import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.chestnutloom.common.engine.EngineFailure
import org.chestnutloom.common.engine.EngineOrder
import org.chestnutloom.common.engine.EngineOrderKind
import org.chestnutloom.common.engine.engineClient
import org.chestnutloom.id.ProgramId
import org.chestnutloom.store.Condition
import org.chestnutloom.store.Row
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.Transaction
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds

/** Responds to every request with one status and body, and records the request paths. */
private class FixedResponseServer(
    status: Int,
    body: String,
) : AutoCloseable {
    val paths = mutableListOf<String>()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val url = "http://${InetAddress.getLoopbackAddress().hostAddress}:${server.address.port}"

    init {
        server.createContext("/") { exchange ->
            paths += exchange.requestURI.rawPath
            exchange.requestBody.readAllBytes()
            val bytes = body.encodeToByteArray()
            exchange.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        server.start()
    }

    override fun close() {
        server.stop(0)
    }
}

class ServiceClientsSpec :
    DescribeSpec({
        val transaction = Transaction(listOf(Condition("a", 1)), emptyList())

        suspend fun transact(
            status: Int,
            body: String,
        ) = FixedResponseServer(status, body).use { tableClient(it.url).transact(transaction) }

        describe("a write to the table service") {
            it("returns the rows written, or the conflict") {
                transact(200, """{"rows":[{"key":"a","version":2,"value":"x"}]}""").getOrNull() shouldBe
                    listOf(Row("a", 2, "x"))
                val conflict = transact(409, """{"failedKeys":["a"],"current":[]}""").leftOrNull()
                conflict shouldBe StoreFailure.Conflict(listOf("a"), emptyList())
            }

            it("has no effect when the service is unavailable or the connection is refused") {
                transact(503, "").leftOrNull().shouldBeInstanceOf<StoreFailure.Unavailable>()
                val freePort = ServerSocket(0).use { it.localPort }
                val refused = tableClient("http://127.0.0.1:$freePort").transact(transaction)
                refused.leftOrNull().shouldBeInstanceOf<StoreFailure.Unavailable>()
            }

            it("has an unknown outcome when the response is missing or malformed") {
                transact(200, """{"rows":""").leftOrNull().shouldBeInstanceOf<StoreFailure.OutcomeUnknown>()
                transact(500, "").leftOrNull().shouldBeInstanceOf<StoreFailure.OutcomeUnknown>()
                ServerSocket(0).use { unresponsive ->
                    val client = tableClient("http://127.0.0.1:${unresponsive.localPort}", 200.milliseconds)
                    client.transact(transaction).leftOrNull().shouldBeInstanceOf<StoreFailure.OutcomeUnknown>()
                    client.read(listOf("a")).leftOrNull().shouldBeInstanceOf<StoreFailure.Unavailable>()
                }
            }

            it("has an unknown outcome when the connection closes without a response") {
                ServerSocket(0).use { closing ->
                    val closer = Thread { closing.accept().use { it.getInputStream().read() } }.apply { start() }
                    val result = tableClient("http://127.0.0.1:${closing.localPort}").transact(transaction)
                    closer.join()
                    result.leftOrNull().shouldBeInstanceOf<StoreFailure.OutcomeUnknown>()
                }
            }
        }

        describe("the object store client") {
            it("encodes each segment of a name, and returns null for a missing object") {
                FixedResponseServer(404, "").use { server ->
                    objectClient(server.url).get("kv/p 1/é").getOrNull() shouldBe null
                    server.paths.single() shouldBe "/v1/objects/kv/p%201/%C3%A9"
                }
            }
        }

        describe("the engine client") {
            it("returns the cache listing, and the fencing token of a rejected order") {
                FixedResponseServer(200, """{"programs":{"p1":1200}}""").use {
                    engineClient(it.url).cachedPrograms().getOrNull() shouldBe mapOf(ProgramId("p1") to 1200L)
                }
                FixedResponseServer(409, """{"fencing":8}""").use {
                    val order = EngineOrder(7, EngineOrderKind.LOAD_MODEL, "m1")
                    engineClient(it.url).order(order).leftOrNull() shouldBe EngineFailure.Fenced(8)
                }
            }
        }
    })
