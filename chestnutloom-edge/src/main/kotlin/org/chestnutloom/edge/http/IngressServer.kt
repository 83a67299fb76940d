package org.chestnutloom.edge.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseEncoder
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import java.net.InetSocketAddress

/** HTTP server that accepts callers' connections on one address. */
public class IngressServer(
    private val address: PeerAddress,
    private val loop: EdgeLoop,
    private val handler: CallerHandler,
    private val limits: IngressLimits,
    private val bodyMemory: BodyMemory,
    private val clock: Clock,
) {
    private val registry = IngressRegistry()
    private var serverChannel: Channel? = null

    /** Whether any connection has a request in progress or a response that is not written yet. */
    public val isBusy: Boolean
        get() = registry.isBusy

    /** Binds the listening socket and returns its port. */
    public fun start(): Int {
        val channel = bootstrap().bind(InetSocketAddress(address.host, address.port)).sync().channel()
        serverChannel = channel
        return (channel.localAddress() as InetSocketAddress).port
    }

    /** Starts to close each connection after its next response. */
    public fun beginShutdown() {
        registry.beginShutdown()
    }

    /** Closes the listening socket and the idle connections. */
    public fun stopListening() {
        serverChannel?.close()
        registry.closeIdle()
    }

    private fun bootstrap(): ServerBootstrap =
        ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        val connection = IngressConnection(handler, limits, bodyMemory, registry, clock, loop.scope)
                        channel.pipeline().addLast(
                            ReadActivityHandler(connection),
                            StrictRequestDecoder(decoderConfig()),
                            HttpResponseEncoder(),
                            connection,
                        )
                    }
                },
            )

    private fun decoderConfig(): HttpDecoderConfig {
        val maxBytes = limits.current().maxHeaderBytes
        return HttpDecoderConfig().setMaxInitialLineLength(maxBytes).setMaxHeaderSize(maxBytes)
    }

    private companion object {
        private const val BACKLOG_CONNECTIONS = 1_024
    }
}
