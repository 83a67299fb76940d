package org.chestnutloom.wire.link

/** A frame as received, with its encoded size. */
internal data class SizedFrame(
    val frame: Frame,
    val sizeBytes: Int,
)
