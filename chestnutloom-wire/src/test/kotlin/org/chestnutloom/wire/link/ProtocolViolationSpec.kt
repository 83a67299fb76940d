package org.chestnutloom.wire.link

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.single
import kotlinx.coroutines.flow.toList
import org.chestnutloom.id.CallId
import org.chestnutloom.wire.message.AttachCall
import org.chestnutloom.wire.message.CallChunk
import org.chestnutloom.wire.message.Done
import org.chestnutloom.wire.message.LinkRequest
import org.chestnutloom.wire.message.ProbeStore
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val FUZZ_SEED = 11L

/** Opens [streams] streams on a link, runs [respond] as the peer with their open frames, and returns the results. */
private suspend fun LinkFixture.resultsFrom(
    streams: Int,
    respond: RawPeer.(List<Frame.Open>) -> Unit,
): List<Result<List<Any>>> =
    ServerSocket(0).use { serverSocket ->
        val link = link(serverSocket.localPort)
        coroutineScope {
            val requests =
                (0 until streams).map {
                    async {
                        runCatching {
                            link.request(AttachCall(CallId("c$it"), 0)).toList()
                        }
                    }
                }
            RawPeer.accept(serverSocket, "s1").use { peer ->
                peer.respond((0 until streams).map { peer.receiveUntil<Frame.Open>() })
                requests.map { it.await() }
            }
        }
    }

private fun idOf(request: LinkRequest): String = (request as AttachCall).id.value

private fun Result<List<Any>>.failure(): LinkFailure = exceptionOrNull().shouldBeInstanceOf<LinkException>().failure

class ProtocolViolationSpec :
    DescribeSpec({
        describe("duplicated, late or reordered frames") {
            it("never deliver a reply to another stream, or twice") {
                withLinks {
                    val results =
                        resultsFrom(streams = 20) { opened ->
                            val items = opened.map { Frame.Item(it.stream, 0, CallChunk(0, idOf(it.request))) }
                            (items + items + items.shuffled(Random(FUZZ_SEED))).forEach { send(it) }
                            send(Frame.Item(opened.first().stream - 1, 0, CallChunk(0, "foreign")))
                            opened.forEach { send(Frame.End(it.stream, 1)) }
                            items.forEach { send(it) }
                        }
                    results.map { it.getOrThrow() } shouldContainExactly
                        (0 until 20).map { listOf(CallChunk(0, "c$it")) }
                }
            }

            it("fail the stream if an item is missing") {
                withLinks {
                    val missing = resultsFrom(streams = 1) { send(Frame.End(it.single().stream, 2)) }
                    missing.single().failure().shouldBeInstanceOf<LinkFailure.Lost>()
                    val skipped = resultsFrom(streams = 1) { send(Frame.Item(it.single().stream, 1, Done)) }
                    skipped.single().failure().shouldBeInstanceOf<LinkFailure.Malformed>()
                }
            }

            it("run a request once if its open frame is duplicated, even after the stream has ended") {
                withLinks {
                    val runs = AtomicInteger()
                    val port = server { flow { emit(Done).also { runs.incrementAndGet() } } }.start()
                    RawPeer.connect(port).use { peer ->
                        peer.send(Frame.Hello(PROTOCOL_VERSION, identity("caller")))
                        repeat(3) { peer.send(Frame.Open(5, ProbeStore)) }
                        peer.receiveUntil<Frame.End>()
                        peer.send(Frame.Open(5, ProbeStore))
                        peer.send(Frame.Open(6, ProbeStore))
                        peer.receiveUntil<Frame.End>().stream shouldBe 6
                    }
                    runs.get() shouldBe 2
                }
            }
        }

        describe("a peer that sends invalid frames") {
            it("is disconnected with a typed failure") {
                withLinks {
                    val undecodable = resultsFrom(streams = 1) { sendBytes(byteArrayOf(1, 2, 3)) }
                    undecodable.single().failure().shouldBeInstanceOf<LinkFailure.Malformed>()
                    val oversized = resultsFrom(streams = 1) { sendUnframed(byteArrayOf(127, 0, 0, 0)) }
                    oversized.single().failure().shouldBeInstanceOf<LinkFailure.Malformed>()
                }
            }

            it("is disconnected when it exceeds the credit window of an unread stream") {
                withLinks {
                    ServerSocket(0).use { serverSocket ->
                        val link = link(serverSocket.localPort)
                        coroutineScope {
                            val unread =
                                async { link.request(AttachCall(CallId("a"), 0)).collect { awaitCancellation() } }
                            RawPeer.accept(serverSocket, "s1").use { peer ->
                                val stream = peer.receiveUntil<Frame.Open>().stream
                                val other = async { failureOf { link.request(ProbeStore).toList() } }
                                peer.receiveUntil<Frame.Open>()
                                val chunk = CallChunk(0, "x".repeat(4_000_000))
                                runCatching { repeat(4) { peer.send(Frame.Item(stream, it.toLong(), chunk)) } }
                                other.await().shouldBeInstanceOf<LinkFailure.Malformed>()
                            }
                            unread.cancel()
                        }
                    }
                }
            }

            it("does not affect the server or other peers, whatever bytes it sends") {
                withLinks {
                    val port = server { flowOf(Done) }.start()
                    val link = link(port)
                    val frames = listOf(Frame.Open(1, ProbeStore), Frame.Credit(1, 100), Frame.Hello(1, identity("x")))
                    checkAll(PropTestConfig(seed = FUZZ_SEED, iterations = 500), Arb.int()) { seed ->
                        RawPeer.connect(port).use { sendCorruptedFrames(it, Random(seed), frames) }
                    }
                    link.request(ProbeStore).single() shouldBe Done
                    link(port).request(ProbeStore).single() shouldBe Done
                }
            }
        }

        describe("the codec") {
            it("decodes or rejects any bytes without throwing") {
                val valid = FrameCodec.encode(Frame.Open(1, AttachCall(CallId("call"), 3)))
                checkAll(PropTestConfig(seed = FUZZ_SEED, iterations = 20_000), Arb.int()) { seed ->
                    FrameCodec.decode(corrupted(valid, Random(seed)))
                }
                val hugeList = byteArrayOf(0x9b.toByte(), 0, 0, 0, 0, 127, 127, 127, 127)
                FrameCodec.decode(hugeList).isLeft() shouldBe true
            }
        }
    })

/** Sends corrupted frames, with or without a handshake first. */
private fun sendCorruptedFrames(
    peer: RawPeer,
    random: Random,
    frames: List<Frame>,
) {
    try {
        if (random.nextBoolean()) peer.send(Frame.Hello(PROTOCOL_VERSION, identity("attacker")))
        repeat(random.nextInt(1, 5)) {
            val bytes = corrupted(FrameCodec.encode(frames.random(random)), random)
            if (random.nextBoolean()) peer.sendBytes(bytes) else peer.sendUnframed(bytes)
        }
    } catch (_: IOException) {
        return
    }
}

private fun corrupted(
    valid: ByteArray,
    random: Random,
): ByteArray {
    val bytes = valid.copyOf(random.nextInt(1, valid.size + 8))
    repeat(random.nextInt(0, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
    return bytes
}
