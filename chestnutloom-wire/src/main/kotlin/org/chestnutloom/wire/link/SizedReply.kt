package org.chestnutloom.wire.link

import org.chestnutloom.wire.message.LinkReply

/** A reply and the encoded size of its frame. */
internal data class SizedReply(
    val reply: LinkReply,
    val sizeBytes: Int,
)
