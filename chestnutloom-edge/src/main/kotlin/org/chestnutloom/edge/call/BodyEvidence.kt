package org.chestnutloom.edge.call

import org.chestnutloom.edge.http.ResponseFraming
import kotlin.time.Duration

/**
 * What tells whether a response body that has ended is complete.
 *
 * @property framing how the end of the body was recognized
 * @property content how the content of the body ends
 * @property lastBytesAt when the last bytes of the body arrived, on the monotonic clock
 */
internal data class BodyEvidence(
    val framing: ResponseFraming,
    val content: ContentEnd,
    val lastBytesAt: Duration,
)
