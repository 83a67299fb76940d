package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The order was not carried out, because one with the higher number [newestFencing] was seen before. */
@Serializable
@SerialName("order-fenced")
public data class OrderFenced(
    public val newestFencing: Long,
) : LinkReply
