package org.chestnutloom.edge.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.channels.ReceiveChannel
import java.io.IOException

/** Runs a [ConnectionOrder] on an [HttpConnection] without sockets. */
internal class ScriptedConnection(
    private val order: ConnectionOrder,
) {
    private val validator = ResponseHeadValidator(persistentSetOf(ScriptedMessage.ID_HEADER))
    private val headers = ResponseHeadersFactory(validator)
    private val config = HttpDecoderConfig().setHeadersFactory(headers).setTrailersFactory(headers)
    private val decoder = ResponseDecoder(config, validator)
    private val connection = HttpConnection(StoppedClock, decoder)

    /** With the handlers of [HttpConnector]. */
    private val channel =
        EmbeddedChannel(ReceivedBytesHandler(connection), decoder, ByteExactRequestEncoder(), connection)

    /** Returns the first fault of the connection, or null if it has none. */
    fun fault(): String? =
        try {
            if (order.first.isEmpty()) faultOfExchanges() else faultOfFirstBytes()
        } finally {
            channel.finishAndReleaseAll()
        }

    /** Bytes ahead of the first request must not become a part of its response. */
    private fun faultOfFirstBytes(): String? {
        receive(order.first)
        val exchange = order.exchanges.first()
        val parts = begin(exchange)
        receive(exchange.own.text)
        connection.close()
        return if (drain(
                parts,
            ).all { it is ResponsePart.Aborted }
        ) {
            null
        } else {
            "a response after bytes ahead of a request"
        }
    }

    private fun faultOfExchanges(): String? {
        order.exchanges.forEachIndexed { index, exchange ->
            val parts = drain(run(exchange))
            exchange.faultOf(parts)?.let { return "exchange ${index + 1}, ${exchange.disorder}: $it" }
            if (exchange.allowsNext && !connection.isReusable) return "exchange ${index + 1}: not reusable"
            if (exchange.forbidsNext && connection.isReusable) {
                return "exchange ${index + 1}, ${exchange.disorder}: reusable after bytes of no exchange"
            }
            if (!connection.isReusable) return null
        }
        return null
    }

    private fun run(exchange: ScriptedExchange): ReceiveChannel<ResponsePart> {
        val parts = begin(exchange)
        val own = exchange.ahead + exchange.own.text.take(exchange.sentBytes)
        if (exchange.isBehindLater) {
            receive(own)
            receive(exchange.behind)
        } else {
            receive(own + exchange.behind)
        }
        end(exchange)
        return parts
    }

    private fun begin(exchange: ScriptedExchange): ReceiveChannel<ResponsePart> {
        val method = if (exchange.own.framing == MessageFraming.HEAD) HttpMethod.HEAD else HttpMethod.POST
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/")
        val parts =
            connection.exchange(request, RequestBody(emptyList())) {
                it.headers().get(ScriptedMessage.ID_HEADER) == exchange.own.id
            }
        channel.releaseOutbound()
        return parts
    }

    private fun receive(text: String) {
        order.reads(text).forEach {
            if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(it.encodeToByteArray()))
        }
    }

    private fun end(exchange: ScriptedExchange) {
        when (exchange.ending) {
            // The client gives up on a response that is joined to a part of another one.
            ConnectionEnding.NONE -> if (exchange.isJoined) connection.close()
            ConnectionEnding.FIN -> closeByServer()
            ConnectionEnding.RESET -> {
                if (channel.isOpen) channel.pipeline().fireExceptionCaught(IOException("Connection reset"))
                closeByServer()
            }
            ConnectionEnding.SILENCE -> connection.close()
        }
        channel.runPendingTasks()
    }

    /** Closes below the handlers, as the socket does, rather than through them. */
    private fun closeByServer() {
        channel.unsafe().close(channel.voidPromise())
    }

    private fun drain(parts: ReceiveChannel<ResponsePart>): List<ResponsePart> =
        generateSequence { parts.tryReceive().getOrNull() }.toList()
}
