package org.chestnutloom.fakes.engine

import kotlinx.serialization.Serializable

/** An order to an engine. */
@Serializable
internal data class Order(
    val fencing: Long,
    val kind: OrderKind,
    val argument: String,
)
