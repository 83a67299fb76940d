package org.chestnutloom.sidecar

import io.kotest.assertions.throwables.shouldNotThrowAny
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.opentelemetry.api.OpenTelemetry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import org.chestnutloom.call.CallKind
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.id.CallId
import org.chestnutloom.time.systemClock
import org.chestnutloom.wire.link.Heartbeat
import org.chestnutloom.wire.link.LinkOptions
import org.chestnutloom.wire.link.PeerAddress
import org.chestnutloom.wire.link.peerLink
import org.chestnutloom.wire.message.CallEnded
import org.chestnutloom.wire.message.ForgetCalls
import org.chestnutloom.wire.message.LoadReport
import org.chestnutloom.wire.message.RunCall
import org.chestnutloom.wire.message.WatchLoad
import kotlin.time.Duration.Companion.seconds

class SidecarNodeSpec :
    DescribeSpec({
        val body = """{"paid":true}"""
        val response = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n$body"

        describe("a sidecar on a link server") {
            it("completes a running tool call and refuses new ones during a graceful shutdown") {
                val scope = CoroutineScope(SupervisorJob())
                StubHttpServer(response, waitsForRelease = true).use { server ->
                    val settings =
                        sidecarSettings("http://127.0.0.1:${server.port}").copy(
                            kind = CallKind.TOOL,
                            stopTimeout = 20.seconds,
                        )
                    val tracer = OpenTelemetry.noop().getTracer("test")
                    val node = sidecar(settings, systemClock(), SimpleMeterRegistry(), tracer, scope)
                    node.start()
                    node.isReady shouldBe true
                    val link =
                        peerLink(
                            PeerAddress("127.0.0.1", node.endpoints.linkPort),
                            gatewayA,
                            "engine-1",
                            { Heartbeat(0, proofAgeMs = 0) },
                            LinkOptions(connectTimeout = 10.seconds, silenceTimeout = 10.seconds),
                            systemClock(),
                            scope,
                        )
                    val call = scope.async { link.request(RunCall(callRequest())).toList() }
                    server.awaitRequest()
                    val stop = scope.async { node.stopGracefully() }
                    while (node.isReady) delay(1)
                    val report = link.request(WatchLoad).first { (it as LoadReport).draining } as LoadReport
                    report.inFlightHashes shouldBe listOf(callRequest().bodyHash)
                    val rejected = link.request(RunCall(callRequest(CallId("p1/2")))).toList()
                    rejected.refusal().code shouldBe RefusalCode.STOPPING
                    server.releaseResponse()
                    call
                        .await()
                        .last()
                        .shouldBeInstanceOf<CallEnded>()
                        .body shouldBe body
                    withClue("the reply to ForgetCalls") {
                        shouldNotThrowAny { link.request(ForgetCalls(listOf(firstCall))).toList() }
                    }
                    stop.await()
                    link.close()
                }
                scope.cancel()
            }
        }
    })
