package org.chestnutloom.edge.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** Notifies [connection] of bytes before decoding, so that bytes that are no response count as well. */
internal class ReceivedBytesHandler(
    private val connection: HttpConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        val bytes = (message as? ByteBuf)?.readableBytes() ?: 0
        if (connection.acceptsBytes(bytes)) ctx.fireChannelRead(message) else ReferenceCountUtil.release(message)
    }
}
