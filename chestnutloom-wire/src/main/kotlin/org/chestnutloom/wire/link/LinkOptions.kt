package org.chestnutloom.wire.link

import org.chestnutloom.mechanism.Mechanisms
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How links behave; both ends of a link should use the same options.
 *
 * @property heartbeatInterval how often each end sends a heartbeat
 * @property silenceTimeout how long a connection may bring nothing before it is closed
 * @property connectTimeout how long connecting and the exchange of identities may take together
 * @property maxFrameBytes the largest frame that either end may send
 * @property windowBytes how much of one stream may be under way or unread
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
