package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.channels.Channel

/** The client side of one stream: buffers replies until they are read. */
internal class ClientStream(
    val id: Long,
    private val address: PeerAddress,
    private val options: LinkOptions,
) {
    private val replies = Channel<SizedReply>(Channel.UNLIMITED)
    private var nextSequence = 0L
    private var unreadBytes = 0L
    private var ungrantedBytes = 0L

    /** Buffers the reply of one item frame; ignores duplicates and rejects gaps in the sequence. */
    @Synchronized
    fun item(
        frame: Frame.Item,
        sizeBytes: Int,
    ): Either<MalformedFrame, Unit> {
        if (frame.sequence < nextSequence) return Unit.right()
        if (frame.sequence > nextSequence) {
            return MalformedFrame("received item ${frame.sequence}, expected $nextSequence").left()
        }
        nextSequence++
        unreadBytes += sizeBytes
        if (unreadBytes > options.windowBytes + options.maxFrameBytes) {
            return MalformedFrame("$unreadBytes unread bytes exceed the window of ${options.windowBytes} bytes").left()
        }
        replies.trySend(SizedReply(frame.reply, sizeBytes))
        return Unit.right()
    }

    /** Ends the stream, which fails if items are missing. */
    @Synchronized
    fun end(items: Long) {
        if (items == nextSequence) {
            replies.close()
        } else {
            fail(LinkFailure.Lost(address, "received $nextSequence of $items items"))
        }
    }

    fun fail(failure: LinkFailure) {
        replies.close(LinkException(failure))
    }

    /** Returns the next reply, or null at the end of the stream; throws [LinkException] if the stream failed. */
    suspend fun next(): SizedReply? {
        val result = replies.receiveCatching()
        if (result.isSuccess) return result.getOrThrow()
        result.exceptionOrNull()?.let { throw it }
        return null
    }

    /**
     * Records that [reply] was read, and returns the credit to grant to the peer.
     *
     * Returns 0 until half a window has been read, which limits the number of credit frames.
     */
    @Synchronized
    fun markRead(reply: SizedReply): Long {
        unreadBytes -= reply.sizeBytes
        ungrantedBytes += reply.sizeBytes
        if (ungrantedBytes < options.windowBytes / 2) return 0
        return ungrantedBytes.also { ungrantedBytes = 0 }
    }
}
