package org.chestnutloom.edge.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.chestnutloom.common.log.warnEvent
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.wire.link.PeerAddress
import java.net.InetSocketAddress

private val logger = KotlinLogging.logger {}

/** Sends and takes beats by UDP on one address. */
internal class FleetHeartbeatSocket(
    private val address: PeerAddress,
    private val loop: EdgeLoop,
    private val onBeat: (FleetHeartbeat) -> Unit,
) {
    private val codec = CborCodec(FleetHeartbeat.serializer())
    private var channel: Channel? = null

    /** Starts to listen. */
    fun start() {
        channel =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .handler(reader())
                .bind(InetSocketAddress(address.host, address.port))
                .sync()
                .channel()
    }

    /** Sends [beat] to each of [receivers]; it may be lost on the way. */
    fun send(
        beat: FleetHeartbeat,
        receivers: Collection<PeerAddress>,
    ) {
        val bytes = codec.encode(beat)
        receivers.forEach {
            channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(it.host, it.port)))
        }
    }

    /** Stops listening. */
    fun stop() {
        channel?.close()
    }

    private fun reader() =
        object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(
                ctx: ChannelHandlerContext,
                packet: DatagramPacket,
            ) {
                codec
                    .decode(ByteBufUtil.getBytes(packet.content()))
                    .onLeft { logger.warnEvent("beat_malformed", "from" to packet.sender(), "detail" to it.detail) }
                    .onRight(onBeat)
            }

            override fun exceptionCaught(
                ctx: ChannelHandlerContext,
                cause: Throwable,
            ) {
                logger.warnEvent("beat_socket_failed", "detail" to cause.message)
            }
        }
}
