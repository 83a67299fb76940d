package org.chestnutloom.fakes.proxy

import kotlin.time.Duration

/** What a proxy does with one chunk of bytes that it read. */
internal sealed interface ChunkAction {
    /** The bytes to write. */
    val bytes: ByteArray

    /** Writes [bytes] after [delay]. */
    class Forward(
        override val bytes: ByteArray,
        val delay: Duration = Duration.ZERO,
    ) : ChunkAction

    /** Writes [bytes] and then transfers nothing more, without closing the connection. */
    class Freeze(
        override val bytes: ByteArray,
    ) : ChunkAction

    /** Writes [bytes], discards further input for [discardFor], and closes the connection. */
    class Close(
        override val bytes: ByteArray,
        val discardFor: Duration,
    ) : ChunkAction
}
