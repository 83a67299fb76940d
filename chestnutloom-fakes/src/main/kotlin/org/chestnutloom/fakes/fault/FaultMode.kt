package org.chestnutloom.fakes.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a stand-in misbehaves on command. */
@Serializable
public enum class FaultMode {
    /** Requests are served. */
    @SerialName("ok")
    OK,

    /** Requests are served after a delay. */
    @SerialName("slow")
    SLOW,

    /** Requests are refused with status 503 and have no effect. */
    @SerialName("down")
    DOWN,

    /** Requests take effect, and the connection closes without a whole answer. */
    @SerialName("lose_replies")
    LOSE_REPLIES,

    /** Streams of an engine break off after some chunks, while the engine goes on with the request. */
    @SerialName("cut_stream")
    CUT_STREAM,
}
