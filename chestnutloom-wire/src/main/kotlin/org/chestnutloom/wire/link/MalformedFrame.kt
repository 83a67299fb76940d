package org.chestnutloom.wire.link

/** Why received bytes are not a valid frame, or a valid frame is not allowed where it came. */
internal data class MalformedFrame(
    val detail: String,
)
