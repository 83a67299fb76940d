package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.chestnutloom.time.Clock
import kotlin.time.Duration

/** The version of the protocol between chestnutloom processes. */
internal const val PROTOCOL_VERSION: Int = 1

/**
 * What both ends said of themselves when a connection opened.
 *
 * @property helloSentAt when this end sent its own identity, on the clock's elapsed time
 */
internal data class Handshake(
    val peer: PeerIdentity,
    val helloSentAt: Duration,
)

/** Sends the identity of [self] first, and then waits for the peer's. */
internal suspend fun FrameSocket.handshakeAsClient(
    self: PeerIdentity,
    clock: Clock,
): Either<MalformedFrame, Handshake> {
    val sentAt = clock.elapsed()
    writeHello(self)
    return readHello().flatMap { Handshake(it, sentAt).right() }
}

/** Waits for the peer's identity first, and then sends that of [self]. */
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
            hello == null -> MalformedFrame("no hello at the start").left()
            hello.protocolVersion != PROTOCOL_VERSION -> MalformedFrame("version ${hello.protocolVersion}").left()
            else -> hello.identity.right()
        }
    }
