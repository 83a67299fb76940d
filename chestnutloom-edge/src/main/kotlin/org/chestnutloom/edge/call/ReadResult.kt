package org.chestnutloom.edge.call

/**
 * What came of reading a target's answer.
 *
 * @property isClean whether the answer was read to its end, so that the connection can be used again
 */
internal data class ReadResult(
    val outcome: AttemptResult,
    val isClean: Boolean,
)
