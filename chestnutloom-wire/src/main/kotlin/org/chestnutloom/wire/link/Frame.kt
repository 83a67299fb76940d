package org.chestnutloom.wire.link

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** One message on a connection; each is sent as a length and its CBOR form. */
@Serializable
internal sealed interface Frame {
    /** Opens a connection; each end sends it once, before anything else. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val protocolVersion: Int,
        val identity: PeerIdentity,
    ) : Frame

    /**
     * Shows that the sender is alive.
     *
     * @property echo the sequence of the newest heartbeat that the sender had received; 0 when it had none
     */
    @Serializable
    @SerialName("beat")
    data class HeartbeatFrame(
        val heartbeat: Heartbeat,
        val echo: Long,
    ) : Frame

    /** Opens a stream; ids grow within a connection and start at a random number. */
    @Serializable
    @SerialName("open")
    data class Open(
        val stream: Long,
        val request: LinkRequest,
    ) : Frame

    /** Carries one reply; [sequence] counts the items of the stream from 0. */
    @Serializable
    @SerialName("item")
    data class Item(
        val stream: Long,
        val sequence: Long,
        val reply: LinkReply,
    ) : Frame

    /** Ends a stream that had [items] items. */
    @Serializable
    @SerialName("end")
    data class End(
        val stream: Long,
        val items: Long,
    ) : Frame

    /** Ends a stream whose handler failed. */
    @Serializable
    @SerialName("fail")
    data class Fail(
        val stream: Long,
        val detail: String,
    ) : Frame

    /** Tells that nobody reads the stream any more. */
    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val stream: Long,
    ) : Frame

    /** Lets the peer send [sizeBytes] more on the stream. */
    @Serializable
    @SerialName("credit")
    data class Credit(
        val stream: Long,
        val sizeBytes: Long,
    ) : Frame
}
