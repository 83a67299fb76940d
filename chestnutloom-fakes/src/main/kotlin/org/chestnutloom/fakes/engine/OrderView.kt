package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** The answer of `GET /admin/orders`: what the orders so far made of the engine. */
@Serializable
internal data class OrderView(
    val highestFencing: Long,
    val models: Set<String>,
    val adapters: Set<String>,
    val role: String?,
    val obeyed: List<Order>,
)
