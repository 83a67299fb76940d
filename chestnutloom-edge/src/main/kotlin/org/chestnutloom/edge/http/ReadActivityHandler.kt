package org.chestnutloom.edge.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Notifies [connection] of bytes before decoding, so that the header timeout also covers incomplete headers. */
internal class ReadActivityHandler(
    private val connection: IngressConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        connection.onBytesReceived()
        ctx.fireChannelRead(message)
    }
}
