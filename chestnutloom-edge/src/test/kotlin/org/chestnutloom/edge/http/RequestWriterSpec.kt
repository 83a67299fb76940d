package org.chestnutloom.edge.http

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.io.IOException

/** Keeps back what is written to the network until it is told to send it. */
private class SlowNetwork : ChannelOutboundHandlerAdapter() {
    private val pending = ArrayDeque<Pair<ByteBuf, ChannelPromise>>()
    val text = StringBuilder()
    var mostPendingBytes = 0

    override fun write(
        ctx: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        pending += (message as ByteBuf) to promise
        mostPendingBytes = maxOf(mostPendingBytes, pending.sumOf { it.first.readableBytes() })
    }

    fun sendAll() {
        while (pending.isNotEmpty()) {
            val (buffer, promise) = pending.removeFirst()
            text.append(buffer.toString(Charsets.ISO_8859_1))
            buffer.release()
            promise.setSuccess()
        }
    }

    fun fail() {
        val (buffer, promise) = pending.removeFirst()
        buffer.release()
        promise.setFailure(IOException("Connection reset"))
    }
}

class RequestWriterSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val network = SlowNetwork()
        val channel = EmbeddedChannel(network, ByteExactRequestEncoder())
        val results = ArrayList<Boolean>()

        fun write(body: RequestBody) {
            val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a")
            request.headers().set("Content-Length", body.size)
            RequestWriter(channel) { results += it }.write(request, body)
        }

        describe("a request whose body is long") {
            val body = RequestBody(listOf("x".repeat(300_000), "", "y".repeat(200_001)).map { it.encodeToByteArray() })

            it("is sent whole") {
                write(body)
                network.sendAll()
                results shouldContainExactly listOf(true)
                network.text.substring(network.text.indexOf("\r\n\r\n") + 4) shouldBe
                    "x".repeat(300_000) + "y".repeat(200_001)
            }

            // Guards against a long body that is copied to buffers for the network as a whole.
            it("has no more than a slice waiting for the network") {
                write(body)
                network.sendAll()
                (network.mostPendingBytes < 70_000) shouldBe true
            }

            it("is not sent when the connection fails") {
                write(body)
                network.fail()
                network.fail()
                results shouldContainExactly listOf(false)
            }
        }

        describe("a request whose body is short") {
            it("is sent with its head") {
                write(RequestBody(listOf("a", "b").map { it.encodeToByteArray() }))
                results.shouldBeEmpty()
                network.sendAll()
                network.text.toString() shouldBe "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
                results shouldContainExactly listOf(true)
            }
        }
    })
