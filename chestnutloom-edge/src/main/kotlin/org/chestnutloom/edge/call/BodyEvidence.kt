package org.chestnutloom.edge.call

import org.chestnutloom.edge.http.ResponseFraming

/**
 * What tells whether a response body that has ended is complete.
 *
 * @property framing how the end of the body was recognized
 * @property content how the content of the body ends
 */
internal data class BodyEvidence(
    val framing: ResponseFraming,
    val content: ContentEnd,
)
