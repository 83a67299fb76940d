package org.chestnutloom.wire.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.channels.Channel

/** The calling end of one stream: the replies that arrived and were not yet read. */
internal class ClientStream(
    val id: Long,
    private val address: PeerAddress,
    private val options: LinkOptions,
) {
    private val replies = Channel<SizedReply>(Channel.UNLIMITED)
    private var nextSequence = 0L
    private var unreadBytes = 0L
    private var readBytes = 0L

    /** Takes one item; a repeated one is dropped, and one that skips another is malformed. */
    @Synchronized
    fun item(
        frame: Frame.Item,
        sizeBytes: Int,
    ): Either<MalformedFrame, Unit> {
        if (frame.sequence < nextSequence) return Unit.right()
        if (frame.sequence > nextSequence) return MalformedFrame("item ${frame.sequence} before $nextSequence").left()
        nextSequence++
        unreadBytes += sizeBytes
        if (unreadBytes > options.windowBytes + options.maxFrameBytes) return MalformedFrame("window exceeded").left()
        replies.trySend(SizedReply(frame.reply, sizeBytes))
        return Unit.right()
    }

    /** Ends the stream; it fails when items are missing. */
    @Synchronized
    fun end(items: Long) {
        if (items ==
            nextSequence
        ) {
            replies.close()
        } else {
            fail(LinkFailure.Lost(address, "$items items, $nextSequence came"))
        }
    }

    fun fail(failure: LinkFailure) {
        replies.close(LinkException(failure))
    }

    /** Returns the next reply, or null at the end; throws [LinkException] when the stream failed. */
    suspend fun next(): SizedReply? {
        val result = replies.receiveCatching()
        if (result.isSuccess) return result.getOrThrow()
        result.exceptionOrNull()?.let { throw it }
        return null
    }

    /** Notes that [reply] was read, and returns how much more the peer may be allowed, or 0 to wait with that. */
    @Synchronized
    fun consumed(reply: SizedReply): Long {
        unreadBytes -= reply.sizeBytes
        readBytes += reply.sizeBytes
        if (readBytes < options.windowBytes / 2) return 0
        return readBytes.also { readBytes = 0 }
    }
}
