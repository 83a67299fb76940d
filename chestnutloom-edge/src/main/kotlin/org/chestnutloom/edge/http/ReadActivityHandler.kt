package org.chestnutloom.edge.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells [connection] of bytes before they are decoded, so that headers that never end are noticed. */
internal class ReadActivityHandler(
    private val connection: IngressConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        connection.bytesArrived()
        ctx.fireChannelRead(message)
    }
}
