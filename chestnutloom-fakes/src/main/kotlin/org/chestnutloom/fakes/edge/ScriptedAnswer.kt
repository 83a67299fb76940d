package org.chestnutloom.fakes.edge

import kotlin.time.Duration

/**
 * What a scripted target answers to one request.
 *
 * @property pieces what it writes, byte for byte
 * @property pause how long it waits before each piece
 */
public class ScriptedAnswer(
    public val pieces: List<String>,
    public val end: AnswerEnd = AnswerEnd.KEEP,
    public val pause: Duration = Duration.ZERO,
)
