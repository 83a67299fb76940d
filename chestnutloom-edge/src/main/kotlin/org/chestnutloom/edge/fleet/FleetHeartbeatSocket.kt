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

/** Sends and receives fleet heartbeats over UDP. */
internal class FleetHeartbeatSocket(
    private val address: PeerAddress,
    private val loop: EdgeLoop,
    private val metrics: HeartbeatMetrics,
    private val onHeartbeat: (FleetHeartbeat) -> Unit,
) {
    private val codec = CborCodec(FleetHeartbeat.serializer())
    private var channel: Channel? = null

    /** Binds the socket and starts to receive heartbeats. */
    fun start() {
        channel =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(receiveHandler())
                .bind(InetSocketAddress(address.host, address.port))
                .sync()
                .channel()
    }

    /** Sends [heartbeat] to each of [receivers], without delivery guarantee, unless it exceeds [MAX_DATAGRAM_BYTES]. */
    fun send(
        heartbeat: FleetHeartbeat,
        receivers: Collection<PeerAddress>,
    ) {
        val bytes = codec.encode(heartbeat)
        if (bytes.size > MAX_DATAGRAM_BYTES) return logTooLarge(bytes.size)
        receivers.forEach {
            metrics.recordSent(bytes.size)
            channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(it.host, it.port)))
        }
    }

    private fun logTooLarge(bytes: Int) {
        logger.warnEvent("heartbeat_too_large", "bytes" to bytes, "max" to MAX_DATAGRAM_BYTES)
    }

    /** Closes the socket. */
    fun stop() {
        channel?.close()
    }

    private fun handle(
        bytes: ByteArray,
        sender: InetSocketAddress,
    ) {
        codec
            .decode(bytes)
            .onRight(onHeartbeat)
            .onLeft {
                metrics.recordMalformed()
                logger.warnEvent("beat_malformed", "from" to sender, "bytes" to bytes.size, "detail" to it.detail)
            }
    }

    private fun receiveHandler() =
        object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(
                ctx: ChannelHandlerContext,
                packet: DatagramPacket,
            ) {
                val bytes = ByteBufUtil.getBytes(packet.content())
                metrics.recordReceived(bytes.size) { handle(bytes, packet.sender()) }
            }

            override fun exceptionCaught(
                ctx: ChannelHandlerContext,
                cause: Throwable,
            ) {
                logger.warnEvent("beat_socket_failed", "detail" to cause.message)
            }
        }

    companion object {
        /** The largest datagram that is sent. Receivers cut off what exceeds their buffer without an error. */
        const val MAX_DATAGRAM_BYTES: Int = 16_384
    }
}
