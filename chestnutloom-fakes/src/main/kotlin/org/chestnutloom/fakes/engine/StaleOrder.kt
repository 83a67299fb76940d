package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The response to an order with a stale fencing token; [fencing] is the highest token seen. */
@Serializable
internal data class StaleOrder(
    val fencing: Long,
)
