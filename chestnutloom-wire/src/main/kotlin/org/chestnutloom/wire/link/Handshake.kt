package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** The version of the link protocol; peers with another version are rejected. */
internal const val PROTOCOL_VERSION: Int = 1

/**
 * The result of the identity exchange that opens a connection.
 *
 * @property helloSentAt when this process sent its own identity, as elapsed time of the clock
 */
internal data class Handshake(
    val peer: PeerIdentity,
    val helloSentAt: Duration,
)

/** Sends the identity of [self], then awaits that of the peer. */
internal suspend fun FrameSocket.handshakeAsClient(
    self: PeerIdentity,
    clock: Clock,
): Either<MalformedFrame, Handshake> {
    val sentAt = clock.elapsed()
    writeHello(self)
    return readHello().flatMap { Handshake(it, sentAt).right() }
}

/** Awaits the identity of the peer, then sends that of [self]. */
internal suspend fun FrameSocket.handshakeAsServer(
    self: PeerIdentity,
    clock: Clock,
): Either<MalformedFrame, Handshake> =
    readHello().flatMap { peer ->
        val sentAt = clock.elapsed()
        writeHello(self)
        Handshake(peer, sentAt).right()
    }

private suspend fun FrameSocket.writeHello(self: PeerIdentity) {
    write(FrameCodec.encode(Frame.Hello(PROTOCOL_VERSION, self)))
    flush()
}

private suspend fun FrameSocket.readHello(): Either<MalformedFrame, PeerIdentity> =
    read().flatMap { received ->
        val hello = received.frame as? Frame.Hello
        when {
            hello == null -> {
                MalformedFrame("expected a Hello frame first, received ${received.frame.javaClass.simpleName}").left()
            }

            hello.protocolVersion != PROTOCOL_VERSION -> {
                MalformedFrame("protocol version ${hello.protocolVersion}, expected $PROTOCOL_VERSION").left()
            }

            else -> {
                hello.identity.right()
            }
        }
    }
