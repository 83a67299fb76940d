package org.chestnutloom.fakes.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of fault that a stand-in injects. */
@Serializable
public enum class FaultMode {
    /** Requests are served normally. */
    @SerialName("ok")
    OK,

    /** Requests are served after a delay. */
    @SerialName("slow")
    SLOW,

    /** Requests are refused with status 503 and have no effect. */
    @SerialName("down")
    DOWN,

    /** Requests take effect, but the connection is closed without a response. */
    @SerialName("lose_replies")
    LOSE_REPLIES,

    /** Connections of streams are closed after some chunks, while the engine continues to run the request. */
    @SerialName("cut_stream")
    CUT_STREAM,
}
