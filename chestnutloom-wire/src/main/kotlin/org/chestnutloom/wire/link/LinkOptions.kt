package org.chestnutloom.wire.link

import org.chestnutloom.mechanism.Mechanisms
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and limits of links; both sides of a link should use the same options.
 *
 * @property heartbeatInterval the interval at which each side sends heartbeats
 * @property silenceTimeout how long a connection may receive no bytes before it is closed
 * @property connectTimeout the time limit for connecting and the handshake together
 * @property maxFrameBytes the largest frame that either side may send
 * @property windowBytes the flow-control window of one stream: how many bytes may be in flight or unread
 */
public data class LinkOptions(
    public val heartbeatInterval: Duration = 500.milliseconds,
    public val silenceTimeout: Duration = 2.seconds,
    public val connectTimeout: Duration = 1.seconds,
    public val mechanisms: Mechanisms = Mechanisms.ALL,
    public val maxFrameBytes: Int = DEFAULT_MAX_FRAME_BYTES,
    public val windowBytes: Long = DEFAULT_WINDOW_BYTES,
) {
    private companion object {
        private const val DEFAULT_MAX_FRAME_BYTES = 8 * 1024 * 1024
        private const val DEFAULT_WINDOW_BYTES = 256L * 1024
    }
}
