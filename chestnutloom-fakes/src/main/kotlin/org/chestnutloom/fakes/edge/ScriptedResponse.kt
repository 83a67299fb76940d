package org.chestnutloom.fakes.edge

import kotlin.time.Duration

/**
 * The response of a [ScriptedTarget] to one request.
 *
 * @property chunks the raw data to write, including the status line and headers; each chunk is flushed separately
 * @property pause the delay before each chunk
 * @property isEndless whether the last chunk is repeated until the caller closes the connection
 */
public class ScriptedResponse(
    public val chunks: List<String>,
    public val connectionAction: ConnectionAction = ConnectionAction.KEEP_ALIVE,
    public val pause: Duration = Duration.ZERO,
    public val isEndless: Boolean = false,
)
