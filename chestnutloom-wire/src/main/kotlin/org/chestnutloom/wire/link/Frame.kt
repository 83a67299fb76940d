package org.chestnutloom.wire.link

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.chestnutloom.wire.message.LinkReply
import org.chestnutloom.wire.message.LinkRequest

/** One protocol message, sent as a 4-byte length followed by its CBOR encoding. */
@Serializable
internal sealed interface Frame {
    /** Opens a connection; each side sends it once, as its first frame. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val protocolVersion: Int,
        val identity: PeerIdentity,
    ) : Frame

    /**
     * Carries a heartbeat.
     *
     * @property echo the sequence number of the newest heartbeat that the sender had received, or 0 if none
     */
    @Serializable
    @SerialName("beat")
    data class HeartbeatFrame(
        val heartbeat: Heartbeat,
        val echo: Long,
    ) : Frame

    /** Opens a stream; ids increase within a connection, from a random start. */
    @Serializable
    @SerialName("open")
    data class Open(
        val stream: Long,
        val request: LinkRequest,
    ) : Frame

    /** Carries one reply; [sequence] numbers the items of the stream from 0. */
    @Serializable
    @SerialName("item")
    data class Item(
        val stream: Long,
        val sequence: Long,
        val reply: LinkReply,
    ) : Frame

    /** Ends a stream after [items] items. */
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

    /** Cancels a stream whose replies are no longer read. */
    @Serializable
    @SerialName("cancel")
    data class Cancel(
        val stream: Long,
    ) : Frame

    /** Grants the peer [sizeBytes] more of credit on the stream. */
    @Serializable
    @SerialName("credit")
    data class Credit(
        val stream: Long,
        val sizeBytes: Long,
    ) : Frame
}
