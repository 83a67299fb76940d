package org.chestnutloom.edge.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.handler.codec.http.HttpDecoderConfig
import jdk.net.ExtendedSocketOptions
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.suspendCancellableCoroutine
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.time.Duration

/**
 * Opens HTTP client connections.
 *
 * @property connectTimeout maximum time to establish a TCP connection
 * @param uniqueHeaders names of the headers, besides those of HTTP itself, that a response has at most once
 */
public class HttpConnector(
    loop: EdgeLoop,
    private val clock: Clock,
    private val connectTimeout: Duration,
    uniqueHeaders: ImmutableSet<String> = persistentSetOf(),
) {
    private val validator = ResponseHeadValidator(uniqueHeaders)
    private val bootstrap =
        Bootstrap()
            .group(loop.group)
            .channelFactory(::ResetAwareSocketChannel)
            // A connection whose other side has ended stays open until it is known whether a reset follows.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)

    private val decoderConfig =
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(ResponseHeadersFactory(validator))
            .setTrailersFactory(ResponseHeadersFactory(validator))

    /** Opens a connection to [address]. */
    public suspend fun connect(address: PeerAddress): Either<ConnectFailure, HttpConnection> {
        val decoder = ResponseDecoder(decoderConfig, validator)
        val connection = HttpConnection(clock, decoder)
        val attempt =
            bootstrap
                .clone()
                .handler(initializer(connection, decoder))
                .connect(InetSocketAddress(address.host, address.port))
        val cause = attempt.awaitFailure()
        return if (cause == null) connection.right() else failure(address, cause).left()
    }

    /** Returns whether the VM at [address] refuses the connection because no process listens on the port. */
    public suspend fun isConnectionRefused(address: PeerAddress): Boolean =
        connect(address).fold({ it.wasRefused }, { connection -> false.also { connection.close() } })

    private fun initializer(
        connection: HttpConnection,
        decoder: ResponseDecoder,
    ): ChannelInitializer<SocketChannel> =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(
                    ReceivedBytesHandler(connection),
                    decoder,
                    ByteExactRequestEncoder(),
                    connection,
                )
            }
        }

    private fun failure(
        address: PeerAddress,
        cause: Throwable,
    ): ConnectFailure {
        val detail = cause.message ?: cause.javaClass.simpleName
        val wasRefused = cause is ConnectException && "refused" in detail
        return ConnectFailure(address, detail, wasRefused)
    }

    /** Returns the cause of a failed connection attempt, or null on success; cancellation aborts the attempt. */
    private suspend fun ChannelFuture.awaitFailure(): Throwable? =
        suspendCancellableCoroutine { continuation ->
            addListener { done -> if (continuation.isActive) continuation.resume(done.cause()) else channel().close() }
            continuation.invokeOnCancellation { cancel(false) }
        }

    private companion object {
        private const val KEEPALIVE_SECONDS = 1
        private const val KEEPALIVE_PROBES = 3
        private const val MAX_LINE_BYTES = 8_192
        private const val MAX_HEADER_BYTES = 32_768
        private const val MAX_CHUNK_BYTES = 65_536
    }
}
