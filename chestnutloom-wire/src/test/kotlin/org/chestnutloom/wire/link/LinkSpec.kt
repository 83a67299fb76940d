package org.chestnutloom.wire.link

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.single
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.withTimeout
import org.chestnutloom.id.CallId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.ProbeStore
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LinkSpec :
    DescribeSpec({
        describe("a link") {
            it("carries one request and its replies") {
                withLinks {
                    val port = server { chunks(it) }.start()
                    val replies = link(port).request(AttachCall(CallId("a"), 3)).toList()
                    replies shouldContainExactly (0 until 3).map { CallChunk(it, "a") }
                }
            }

            it("delivers each reply to its own stream among many concurrent ones") {
                withLinks {
                    val link = link(server { chunks(it) }.start())
                    coroutineScope {
                        (1..200)
                            .map { n -> async { link.request(AttachCall(CallId("c$n"), n)).toList() to n } }
                            .awaitAll()
                            .forEach { (replies, n) -> replies shouldBe (0 until n).map { CallChunk(it, "c$n") } }
                    }
                }
            }

            it("delivers the identity and heartbeats of each side to the other") {
                withLinks {
                    val link = link(server { flowOf(Done) }.start(), expected = "s1")
                    link.request(ProbeStore).single()
                    link.peer shouldBe identity("s1")
                    until { link.lastHeartbeat?.configVersion == 7L }
                    until { heartbeats.isNotEmpty() }
                    (heartbeats.first().proofAgeMs!! >= 5) shouldBe true
                }
            }

            it("suspends the sender of an unread stream without blocking other streams") {
                withLinks {
                    val sent = AtomicInteger()
                    val endless = { _: LinkRequest ->
                        generateSequence(
                            0,
                        ) { it + 1 }.asFlow().map { CallChunk(it, "x".repeat(100)) }.onEach { sent.incrementAndGet() }
                    }
                    val link = link(server { if (it is ProbeStore) flowOf(Done) else endless(it) }.start())
                    val firstRead = CompletableDeferred<Unit>()
                    coroutineScope {
                        val unread =
                            async {
                                link.request(AttachCall(CallId("a"), 0)).first {
                                    firstRead.complete(Unit)
                                    awaitCancellation()
                                }
                            }
                        firstRead.await()
                        repeat(100) { link.request(ProbeStore).single() shouldBe Done }
                        unread.cancel()
                    }
                    (sent.get() * 100 < options.windowBytes * 2) shouldBe true
                }
            }

            it("cancels the handler when the client cancels the stream") {
                withLinks {
                    val cancelled = CompletableDeferred<Unit>()
                    val port =
                        server {
                            flow {
                                emit(Done)
                                try {
                                    awaitCancellation()
                                } finally {
                                    cancelled.complete(Unit)
                                }
                            }
                        }.start()
                    link(port).request(ProbeStore).first() shouldBe Done
                    cancelled.await()
                }
            }

            it("reports the failure of a handler and stays open") {
                withLinks {
                    val link =
                        link(
                            server { request ->
                                flow {
                                    if (request is ProbeStore) throw IOException("secret")
                                    withTimeout(1.milliseconds) { awaitCancellation() }
                                }
                            }.start(),
                        )
                    failureOf { link.request(ProbeStore).toList() }.shouldBeInstanceOf<LinkFailure.Lost>()
                    val timedOut = failureOf { link.request(AttachCall(CallId("a"), 0)).toList() }
                    timedOut.shouldBeInstanceOf<LinkFailure.Lost>().detail shouldBe "TimeoutCancellationException"
                }
            }
        }

        describe("a link that cannot connect") {
            it("distinguishes a refused connection, an unresponsive process and a wrong peer") {
                withLinks {
                    val freePort = ServerSocket(0).use { it.localPort }
                    failureOf { link(freePort).request(ProbeStore).toList() }.shouldBeInstanceOf<LinkFailure.Refused>()
                    ServerSocket(0).use { unresponsive ->
                        val failure = failureOf { link(unresponsive.localPort).request(ProbeStore).toList() }
                        failure.shouldBeInstanceOf<LinkFailure.Unreachable>()
                    }
                    val port = server("s2") { flowOf(Done) }.start()
                    val failure = failureOf { link(port, expected = "s1").request(ProbeStore).toList() }
                    failure shouldBe LinkFailure.WrongPeer("s1", identity("s2"))
                }
            }
        }

        describe("a lost connection") {
            it("fails open streams, and the next request tries to connect again") {
                withLinks {
                    val started = CompletableDeferred<Unit>()
                    val first = server { startThenSuspend(started) }
                    val port = first.start()
                    val link = link(port)
                    coroutineScope {
                        val open = async { failureOf { link.request(ProbeStore).toList() } }
                        started.await()
                        first.stop()
                        open.await().shouldBeInstanceOf<LinkFailure.Lost>()
                    }
                    val failure = failureOf { link.request(ProbeStore).toList() }
                    failure.shouldBeInstanceOf<LinkFailure.Refused>()
                }
            }

            it("fails open and later requests after the link is closed, without cancelling their coroutines") {
                withLinks {
                    val started = CompletableDeferred<Unit>()
                    val link = link(server { startThenSuspend(started) }.start())
                    coroutineScope {
                        val open = async { failureOf { link.request(ProbeStore).toList() } }
                        started.await()
                        link.close()
                        open.await().shouldBeInstanceOf<LinkFailure.Lost>()
                    }
                    failureOf { link.request(ProbeStore).toList() }.shouldBeInstanceOf<LinkFailure.Unreachable>()
                }
            }

            it("is detected by the silence timeout, and the next request uses a new connection") {
                withLinks(LinkFixture(silenceTimeout = 200.milliseconds)) {
                    ServerSocket(0).use { serverSocket ->
                        val link = link(serverSocket.localPort)
                        repeat(2) {
                            coroutineScope {
                                val open = async { failureOf { link.request(ProbeStore).toList() } }
                                RawPeer.accept(serverSocket, "s1").use {
                                    val failure = open.await().shouldBeInstanceOf<LinkFailure.Lost>()
                                    failure.detail shouldContain "silent"
                                }
                            }
                        }
                    }
                }
            }

            it("is not detected when the heartbeat mechanism is disabled") {
                val withoutHeartbeat = Mechanisms.without(setOf(Mechanism.LINK_HEARTBEAT))
                withLinks(LinkFixture(silenceTimeout = 100.milliseconds, mechanisms = withoutHeartbeat)) {
                    ServerSocket(0).use { serverSocket ->
                        val link = link(serverSocket.localPort)
                        coroutineScope {
                            val open = async { link.request(ProbeStore).toList() }
                            val peer = RawPeer.accept(serverSocket, "s1")
                            repeat(50) { peer.receiveUntil<Frame.HeartbeatFrame>() }
                            open.isActive shouldBe true
                            open.cancel()
                        }
                    }
                }
            }

            it("is detected by the silence timeout while a peer that does not read blocks the writer") {
                withLinks(LinkFixture(silenceTimeout = 200.milliseconds)) {
                    ServerSocket(0).use { serverSocket ->
                        val link = link(serverSocket.localPort)
                        val largeRequest = AttachCall(CallId("x".repeat(1_000_000)), 0)
                        coroutineScope {
                            val open = (1..100).map { async { failureOf { link.request(largeRequest).toList() } } }
                            RawPeer.accept(serverSocket, "s1").use {
                                val (lost, unsent) = open.awaitAll().partition { it is LinkFailure.Lost }
                                lost.shouldNotBeEmpty()
                                unsent.forEach { it.shouldBeInstanceOf<LinkFailure.Unreachable>() }
                            }
                        }
                    }
                }
            }
        }
    })

private fun chunks(request: LinkRequest) =
    (request as AttachCall).let { call -> (0 until call.fromChunk).asFlow().map { CallChunk(it, call.id.value) } }

private fun startThenSuspend(started: CompletableDeferred<Unit>): Flow<LinkReply> =
    flow {
        started.complete(Unit)
        awaitCancellation()
    }

internal suspend fun failureOf(block: suspend () -> Unit): LinkFailure = shouldThrow<LinkException> { block() }.failure

internal suspend fun until(condition: () -> Boolean) {
    withTimeout(30.seconds) { while (!condition()) delay(5.milliseconds) }
}
