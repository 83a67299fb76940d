package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The answer to an order whose number is below the highest one seen. */
@Serializable
internal data class StaleOrder(
    val fencing: Long,
)
