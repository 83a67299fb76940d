package org.chestnutloom.fakes.proxy

import kotlin.time.Duration

/** What a proxy does with one piece of bytes that it read. */
internal sealed interface PieceAction {
    /** What it still writes. */
    val bytes: ByteArray

    /** Writes [bytes] after [delay]. */
    class Forward(
        override val bytes: ByteArray,
        val delay: Duration = Duration.ZERO,
    ) : PieceAction

    /** Writes [bytes] and then carries nothing more, without closing. */
    class Freeze(
        override val bytes: ByteArray,
    ) : PieceAction

    /** Writes [bytes], swallows what follows for [swallowing], and closes the connection. */
    class Close(
        override val bytes: ByteArray,
        val swallowing: Duration,
    ) : PieceAction
}
