package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The order was rejected, because an order with the higher fencing token [newestFencing] was seen before. */
@Serializable
@SerialName("order-fenced")
public data class OrderFenced(
    public val newestFencing: Long,
) : LinkReply
