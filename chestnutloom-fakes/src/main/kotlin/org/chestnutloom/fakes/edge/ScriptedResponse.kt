package org.chestnutloom.fakes.edge

import kotlin.time.Duration

/**
 * What a scripted target answers to one request.
 *
 * @property chunks what it writes, byte for byte
 * @property pause how long it waits before each piece
 */
public class ScriptedResponse(
    public val chunks: List<String>,
    public val end: ConnectionAction = ConnectionAction.KEEP_ALIVE,
    public val pause: Duration = Duration.ZERO,
)
