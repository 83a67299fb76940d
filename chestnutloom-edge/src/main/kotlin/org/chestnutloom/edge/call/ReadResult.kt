package org.chestnutloom.edge.call

/**
 * The result of reading a target's response.
 *
 * @property isConnectionReusable whether the response was read completely, so that the connection can be reused
 */
internal data class ReadResult(
    val outcome: AttemptResult,
    val isConnectionReusable: Boolean,
)

/** Returns the result of an attempt that may have run and whose connection cannot be reused. */
internal fun lostResponse(cause: String): ReadResult =
    ReadResult(AttemptResult.Lost(cause), isConnectionReusable = false)

/** Returns the result of an attempt that timed out and whose connection cannot be reused. */
internal fun timedOutResponse(): ReadResult = ReadResult(AttemptResult.TimedOut, isConnectionReusable = false)
