package org.chestnutloom.fakes.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The response of `GET /admin/orders`: the orders that were executed and the resulting state of the engine. */
@Serializable
internal data class OrderView(
    val highestFencing: Long,
    val models: Set<String>,
    val adapters: Set<String>,
    val role: String?,
    @SerialName("obeyed")
    val executed: List<Order>,
)
