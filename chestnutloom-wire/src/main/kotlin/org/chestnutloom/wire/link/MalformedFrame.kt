package org.chestnutloom.wire.link

/** Why received bytes are not a valid frame, or why a valid frame is not allowed in the current state. */
internal data class MalformedFrame(
    val detail: String,
)
