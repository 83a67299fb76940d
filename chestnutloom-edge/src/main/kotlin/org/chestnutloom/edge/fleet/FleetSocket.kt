package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.wire.link.PeerAddress
import java.net.InetSocketAddress

private val logger = KotlinLogging.logger {}

/** Exchanges messages with other gateways over UDP. */
internal class FleetSocket(
    private val address: PeerAddress,
    private val loop: EdgeLoop,
    private val metrics: DatagramMetrics,
) : FleetTransport {
    private val codec = CborCodec(FleetMessage.serializer())
    private var channel: Channel? = null

    /** Binds the socket and calls [onMessage] with each message and the address of its sender. */
    fun start(onMessage: (FleetMessage, PeerAddress) -> Unit) {
        channel =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(receiveHandler(onMessage))
                .bind(InetSocketAddress(address.host, address.port))
                .sync()
                .channel()
    }

    /** Sends [message] to each of [receivers], unless it exceeds [MAX_DATAGRAM_BYTES]. */
    override fun send(
        message: FleetMessage,
        receivers: Collection<PeerAddress>,
    ) {
        val open = channel ?: return
        val bytes = codec.encode(message)
        if (bytes.size > MAX_DATAGRAM_BYTES) return logTooLarge(message, bytes.size)
        for (receiver in receivers) {
            metrics.recordSent(bytes.size)
            open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(receiver.host, receiver.port)))
        }
        open.flush()
    }

    /** Closes the socket. */
    fun stop() {
        channel?.close()
    }

    private fun logTooLarge(
        message: FleetMessage,
        bytes: Int,
    ) {
        val type = message.javaClass.simpleName
        logger.warnEvent("datagram_too_large", "type" to type, "bytes" to bytes, "max" to MAX_DATAGRAM_BYTES)
    }

    private fun receiveHandler(onMessage: (FleetMessage, PeerAddress) -> Unit) =
        object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(
                ctx: ChannelHandlerContext,
                packet: DatagramPacket,
            ) {
                val bytes = ByteBufUtil.getBytes(packet.content())
                metrics.recordReceived(bytes.size) { handle(bytes, packet.sender(), onMessage) }
            }

            override fun exceptionCaught(
                ctx: ChannelHandlerContext,
                cause: Throwable,
            ) {
                logger.warnEvent("beat_socket_failed", "detail" to cause.message)
            }
        }

    private fun handle(
        bytes: ByteArray,
        sender: InetSocketAddress,
        onMessage: (FleetMessage, PeerAddress) -> Unit,
    ) {
        codec
            .decode(bytes)
            .onRight { onMessage(it, PeerAddress(sender.hostString, sender.port)) }
            .onLeft {
                metrics.recordMalformed()
                logger.warnEvent("beat_malformed", "from" to sender, "bytes" to bytes.size, "detail" to it.detail)
            }
    }

    companion object {
        /**
         * The largest datagram that is sent; receivers cut off what exceeds their buffer without an error. The limits on
         * the lists in a [FleetHeartbeat] keep it well below.
         */
        const val MAX_DATAGRAM_BYTES: Int = 16_384
    }
}
