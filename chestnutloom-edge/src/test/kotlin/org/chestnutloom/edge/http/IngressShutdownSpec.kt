package org.chestnutloom.edge.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.chestnutloom.edge.config.RequestLimits
import org.chestnutloom.time.systemClock
import org.chestnutloom.wire.link.PeerAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** More than the system buffers of a connection, so that a part of it waits in the gateway while the caller does not read. */
private const val RESPONSE_BYTES = 24 * 1024 * 1024

class IngressShutdownSpec :
    DescribeSpec({
        describe("a response that its caller reads slowly") {
            // Guards against a shutdown that drops the last bytes of responses that had ended (review/9).
            it("is written whole while the server shuts down") {
                val loop = EdgeLoop()
                lateinit var server: IngressServer
                var handled = 0
                val handler =
                    CallerHandler { _, exchange ->
                        handled++
                        val headers = DefaultHttpHeaders().add("Content-Length", RESPONSE_BYTES)
                        exchange.start(200, headers)
                        exchange.send(ByteArray(RESPONSE_BYTES))
                        server.beginShutdown()
                        exchange.finish()
                    }
                val limits = RequestLimits(16_384, 1_000_000, 3.seconds, 15.seconds)
                server =
                    IngressServer(
                        PeerAddress("127.0.0.1", 0),
                        loop,
                        handler,
                        { limits },
                        BodyMemory(1_000_000),
                        systemClock(),
                    )
                val port = server.start()
                withContext(Dispatchers.IO) {
                    Socket("127.0.0.1", port).use { socket ->
                        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
                        delay(250)
                        // Sent behind the last response, so that it must not run.
                        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
                        delay(250)
                        val wasBusy = withContext(loop.scope.coroutineContext) { server.isBusy }
                        val bytes = socket.getInputStream().readAllBytes()
                        val headBytes =
                            bytes
                                .take(1_000)
                                .toByteArray()
                                .decodeToString()
                                .indexOf("\r\n\r\n") + 4
                        wasBusy shouldBe true
                        handled shouldBe 1
                        bytes.size - headBytes shouldBe RESPONSE_BYTES
                    }
                }
                loop.close()
            }
        }
    })
