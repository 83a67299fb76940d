package org.chestnutloom.wire.link

/** A received frame with its encoded size. */
internal data class SizedFrame(
    val frame: Frame,
    val sizeBytes: Int,
)
